package org.wigeonglade.gateway.job;

/**
 * Globally unique key of an item.
 *
 * @param job the job that contains the item, not null
 * @param item the item within the job, not null
 */
record ItemKey(JobId job, ItemId item) {

}
