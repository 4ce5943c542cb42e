package org.wigeonglade.gateway.caller;

import java.util.Optional;

import org.wigeonglade.gateway.job.ItemId;
import org.wigeonglade.gateway.job.JobId;

/**
 * The operation that a caller requests.
 */
public sealed interface CallerOperation {

	/**
	 * Returns the job that the operation concerns.
	 * @return the job, empty for a request that is handled by its route
	 */
	default Optional<JobId> job() {
		return switch (this) {
			case Routed routed -> Optional.empty();
			case ReadResults read -> Optional.of(read.jobId());
			case ReadItem read -> Optional.of(read.jobId());
			case EndJob end -> Optional.of(end.jobId());
		};
	}

	/**
	 * A request that is handled by its route: forwarded to a runner, or submitted as a
	 * job if the route accepts jobs.
	 */
	record Routed() implements CallerOperation {

	}

	/**
	 * Reads results of a job.
	 *
	 * @param jobId the job, not null
	 * @param from the position of the first result, at least 0
	 * @param waitMillis the time to wait for a result if there is none yet, in
	 * milliseconds
	 */
	record ReadResults(JobId jobId, int from, long waitMillis) implements CallerOperation {

	}

	/**
	 * Reads the body of an item.
	 *
	 * @param jobId the job, not null
	 * @param item the item, not null
	 */
	record ReadItem(JobId jobId, ItemId item) implements CallerOperation {

	}

	/**
	 * Ends a job before it is complete.
	 *
	 * @param jobId the job, not null
	 */
	record EndJob(JobId jobId) implements CallerOperation {

	}

}
