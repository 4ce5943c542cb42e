/**
 * Calls to runners: connections that are kept, one call as one send, and the state of the
 * fleet that calls change.
 */
package org.wigeonglade.gateway.runner;
