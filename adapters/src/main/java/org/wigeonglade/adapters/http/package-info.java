/**
 * HTTP requests with complete responses, and with failures that state whether a byte of
 * the request may have been written.
 */
package org.wigeonglade.adapters.http;
