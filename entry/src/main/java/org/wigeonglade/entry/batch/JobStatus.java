package org.wigeonglade.entry.batch;

import org.wigeonglade.core.id.BatchId;

/**
 * Counts the items of a job by state.
 *
 * @param id the job
 * @param service the service that runs its items
 * @param state the state of the whole job
 * @param items the number of items
 * @param completed items with a result
 * @param failed items that ended without a result
 * @param cancelled items that were stopped by a cancellation
 * @param unknown non-idempotent items that may have run
 * @param acceptedWallMillis the time of acceptance, milliseconds since the epoch
 * @param dueWallMillis the due time, milliseconds since the epoch
 */
public record JobStatus(BatchId id, String service, State state, int items, int completed, int failed, int cancelled,
		int unknown, long acceptedWallMillis, long dueWallMillis) {

	/**
	 * Returns the number of items without an outcome.
	 * @return at least 0
	 */
	public int getPending() {
		return this.items - this.completed - this.failed - this.cancelled - this.unknown;
	}

	/**
	 * States of a whole job.
	 */
	public enum State {

		/** Items wait or run. */
		IN_PROGRESS,

		/** Every item has an outcome. */
		COMPLETED,

		/** The job was cancelled. */
		CANCELLED

	}

}
