/**
 * Exchange of whole HTTP requests and responses that tells whether a byte was written.
 */
package org.wigeonglade.adapters.http;
