/**
 * Parsing of event streams (server-sent events) into complete events. Does no I/O.
 */
package org.wigeonglade.gateway.stream;
