package org.wigeonglade.core.batch;

import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Callbacks for the changes that the replay of a partition makes, in log order, on the
 * thread that applies the records. All methods do nothing by default.
 */
public interface ReplayObserver {

	/** Observer that ignores all changes. */
	ReplayObserver NONE = new ReplayObserver() {
	};

	/**
	 * Called when the state was replaced as a whole, for example by a snapshot.
	 * @param state the new state
	 */
	default void stateReplaced(PartitionState state) {
	}

	/**
	 * Called before a record is applied, also for a duplicate.
	 * @param offset the offset of the record
	 * @param entry the record
	 */
	default void recordSeen(long offset, LogRecord entry) {
	}

	/**
	 * Called after a valid claim or release.
	 */
	default void ownerChanged() {
	}

	/**
	 * Called after a job was accepted.
	 * @param job the new job
	 */
	default void jobAccepted(JobState job) {
	}

	/**
	 * Called after the first outcome of an item.
	 * @param job the job
	 * @param index the index of the item in the job
	 */
	default void itemFinished(JobState job, int index) {
	}

	/**
	 * Called after a job was cancelled.
	 * @param job the job
	 */
	default void jobCancelled(JobState job) {
	}

	/**
	 * Called after a job was removed at the end of its retention time.
	 * @param job the job
	 */
	default void jobExpired(JobState job) {
	}

	/**
	 * Called for an entry or record that was ignored.
	 * @param offset the offset of the record
	 * @param kind the kind of entry, for the log
	 * @param reason why it was ignored, for the log
	 */
	default void entryIgnored(long offset, String kind, String reason) {
	}

}
