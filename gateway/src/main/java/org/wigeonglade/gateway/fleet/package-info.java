/**
 * Which runners exist, how busy they are over all hosts, and which of them a request or
 * batch item is placed on. Pure decisions without input or output.
 */
package org.wigeonglade.gateway.fleet;
