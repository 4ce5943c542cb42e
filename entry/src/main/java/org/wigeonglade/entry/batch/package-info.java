/**
 * Batch runtime of a host: ownership of partitions, job upload, status, results and
 * cancellation, the source of work for dispatchers, and keyed online requests.
 */
package org.wigeonglade.entry.batch;
