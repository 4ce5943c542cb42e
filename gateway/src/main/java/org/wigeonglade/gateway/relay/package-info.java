/**
 * Connections to runners by way of another host, for hosts that have lost their own way
 * to the runners. The relaying host forwards bytes; which runner gets a request is
 * decided by the host that has received it.
 */
package org.wigeonglade.gateway.relay;
