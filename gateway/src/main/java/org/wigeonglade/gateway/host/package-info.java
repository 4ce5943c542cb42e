/**
 * The gateway process: settings, wiring, what it believes, readiness and planned stop.
 */
package org.wigeonglade.gateway.host;
