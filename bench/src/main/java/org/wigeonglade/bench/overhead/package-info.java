/**
 * Latency and processor time that one entry host adds to a request.
 */
package org.wigeonglade.bench.overhead;
