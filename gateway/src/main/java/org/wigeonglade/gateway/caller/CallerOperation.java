package org.wigeonglade.gateway.caller;

import org.wigeonglade.gateway.job.ItemId;
import org.wigeonglade.gateway.job.JobId;

/**
 * The operation that a caller requests.
 */
public sealed interface CallerOperation {

	/**
	 * A request that is handled by its route: forwarded to a runner, or submitted as a
	 * job if the route accepts jobs.
	 */
	record Routed() implements CallerOperation {

	}

	/**
	 * Reads results of a job.
	 *
	 * @param job the job, not null
	 * @param from the position of the first result, at least 0
	 * @param waitMillis the time to wait for a result if there is none yet, in
	 * milliseconds
	 */
	record ReadResults(JobId job, int from, long waitMillis) implements CallerOperation {

	}

	/**
	 * Reads the body of an item.
	 *
	 * @param job the job, not null
	 * @param item the item, not null
	 */
	record ReadItem(JobId job, ItemId item) implements CallerOperation {

	}

	/**
	 * Ends a job before it is complete.
	 *
	 * @param job the job, not null
	 */
	record EndJob(JobId job) implements CallerOperation {

	}

}
