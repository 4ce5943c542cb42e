package org.wigeonglade.entry.batch;

import org.wigeonglade.core.id.BatchId;

/**
 * Status of a job, with the number of its items by state.
 *
 * @param id the job
 * @param service the name of the service that runs its items
 * @param state the state of the whole job
 * @param items the number of all items
 * @param completed the number of items with a result
 * @param failed the number of items that ended without a result
 * @param cancelled the number of items ended by the cancellation of the job
 * @param unknown the number of non-idempotent items that may have run and have no result
 * @param acceptedWallMillis the time of acceptance in milliseconds since the epoch
 * @param dueWallMillis the deadline in milliseconds since the epoch
 */
public record JobStatus(BatchId id, String service, State state, int items, int completed, int failed, int cancelled,
		int unknown, long acceptedWallMillis, long dueWallMillis) {

	/**
	 * Returns the number of items that are waiting or running.
	 * @return at least 0
	 */
	public int getPending() {
		return this.items - this.completed - this.failed - this.cancelled - this.unknown;
	}

	/**
	 * State of a whole job.
	 */
	public enum State {

		/** At least one item is waiting or running. */
		IN_PROGRESS,

		/** Every item has an outcome. */
		COMPLETED,

		/** The job was cancelled. */
		CANCELLED

	}

}
