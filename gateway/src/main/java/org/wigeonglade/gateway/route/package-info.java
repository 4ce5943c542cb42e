/**
 * Routes, services and limits on callers as one immutable version of the configuration,
 * independent of its wire format.
 */
package org.wigeonglade.gateway.route;
