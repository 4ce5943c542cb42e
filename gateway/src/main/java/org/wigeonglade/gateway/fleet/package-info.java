/**
 * Registered runners, their load from all hosts, and the placement of online requests and
 * batch items on them. The classes do no input or output.
 */
package org.wigeonglade.gateway.fleet;
