package org.wigeonglade.gateway.caller;

import org.wigeonglade.gateway.job.ItemId;
import org.wigeonglade.gateway.job.JobId;

/**
 * What a caller asks for.
 */
public sealed interface CallerCall {

	/**
	 * A request to be sent on by its route, or a job to be submitted where the route
	 * takes jobs.
	 */
	record Routed() implements CallerCall {

	}

	/**
	 * Asks for results of a job.
	 *
	 * @param job the job, not null
	 * @param from the first position, at least 0
	 * @param waitMillis how long to wait for a result, in milliseconds
	 */
	record ReadResults(JobId job, int from, long waitMillis) implements CallerCall {

	}

	/**
	 * Asks for the body of an item.
	 *
	 * @param job the job, not null
	 * @param item the item, not null
	 */
	record ReadItem(JobId job, ItemId item) implements CallerCall {

	}

	/**
	 * Ends a job.
	 *
	 * @param job the job, not null
	 */
	record EndJob(JobId job) implements CallerCall {

	}

}
