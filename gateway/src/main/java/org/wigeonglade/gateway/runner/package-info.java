/**
 * Calls to runners: pooled connections, calls over them, and the state of the fleet that
 * calls update.
 */
package org.wigeonglade.gateway.runner;
