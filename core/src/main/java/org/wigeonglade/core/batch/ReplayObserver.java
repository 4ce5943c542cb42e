package org.wigeonglade.core.batch;

import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Is told what the records of a partition changed, in log order, on the thread that
 * applies them.
 */
public interface ReplayObserver {

	/** Ignores everything. */
	ReplayObserver NONE = new ReplayObserver() {
	};

	/**
	 * The whole state was replaced, for example after a start from a snapshot.
	 * @param state the new state
	 */
	default void stateReplaced(PartitionState state) {
	}

	/**
	 * A record was read, also if it is a duplicate.
	 * @param offset its offset
	 * @param entry the record
	 */
	default void recordSeen(long offset, LogRecord entry) {
	}

	/**
	 * A valid claim or release changed the owner or its term.
	 */
	default void ownerChanged() {
	}

	/**
	 * A job was accepted.
	 * @param job its state
	 */
	default void jobAccepted(JobState job) {
	}

	/**
	 * An item got its outcome.
	 * @param job the job
	 * @param index the item
	 */
	default void itemFinished(JobState job, int index) {
	}

	/**
	 * A job was cancelled.
	 * @param job the job
	 */
	default void jobCancelled(JobState job) {
	}

	/**
	 * A job was forgotten after its retention time.
	 * @param job the job
	 */
	default void jobExpired(JobState job) {
	}

	/**
	 * An entry had no effect.
	 * @param offset the offset of its record
	 * @param kind the kind of entry
	 * @param reason why it is void
	 */
	default void entryVoid(long offset, String kind, String reason) {
	}

}
