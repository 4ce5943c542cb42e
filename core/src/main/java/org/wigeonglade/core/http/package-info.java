/**
 * Syntax of HTTP/1.1 messages. Everything here is a pure function of its arguments.
 */
package org.wigeonglade.core.http;
