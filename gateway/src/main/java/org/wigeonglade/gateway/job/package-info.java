/**
 * Batch jobs: their records in the keyed store, the replicated state that each host
 * derives from those records, the scheduling of items, and the API calls of submitters.
 */
package org.wigeonglade.gateway.job;
