/**
 * Routes, services and limits for callers as one immutable version of the configuration.
 * Nothing here reads a wire format.
 */
package org.wigeonglade.gateway.route;
