/**
 * The port to the callers' wire format.
 */
package org.wigeonglade.gateway.caller;
