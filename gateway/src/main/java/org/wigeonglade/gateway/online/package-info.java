/**
 * Handling of online requests: placement on a runner, attempts and retries, and the
 * response to the caller.
 */
package org.wigeonglade.gateway.online;
