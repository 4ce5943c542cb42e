/**
 * Batch runtime of a host: partition followers and owners, job submission, status,
 * results, cancellation and keyed online requests.
 */
package org.wigeonglade.entry.batch;
