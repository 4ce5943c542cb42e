/**
 * The gateway process: settings, wiring of the components, in-memory state read from the
 * store, readiness and graceful shutdown.
 */
package org.wigeonglade.gateway.host;
