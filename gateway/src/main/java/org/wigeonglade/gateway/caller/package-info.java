/**
 * Port to the wire format of callers, the HTTP clients of the gateway.
 */
package org.wigeonglade.gateway.caller;
