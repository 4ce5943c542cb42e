package org.wigeonglade.core.batch;

import java.util.Arrays;

import org.wigeonglade.schema.generated.log.JobAccepted;

/**
 * Replayed state of one accepted job. Uses nine bytes per item: the packed
 * {@link ItemState} and one log offset, which is that of the body until the item has an
 * outcome and that of the outcome afterwards. Not thread-safe: confined to the thread
 * that applies records.
 */
public final class JobState {

	private final JobAccepted accepted;

	private final long acceptedOffset;

	private final byte[] statuses;

	private final long[] offsets;

	private final int[] counts = new int[ItemState.COUNT];

	private boolean cancelled;

	private long cancelledOffset = -1;

	private long finishedWallMillis;

	JobState(JobAccepted accepted, long acceptedOffset, byte[] statuses, long[] offsets) {
		this.accepted = accepted;
		this.acceptedOffset = acceptedOffset;
		this.statuses = statuses;
		this.offsets = offsets;
		for (byte status : statuses) {
			this.counts[ItemState.stateOf(status)]++;
		}
	}

	/**
	 * Returns the log entry that accepted the job.
	 * @return the entry, never null
	 */
	public JobAccepted getAccepted() {
		return this.accepted;
	}

	/**
	 * Returns the batch identifier.
	 * @return the text form, never null
	 */
	public String getId() {
		return this.accepted.getBatchId();
	}

	/**
	 * Returns the offset of the record that accepted the job.
	 * @return at least 0
	 */
	public long getAcceptedOffset() {
		return this.acceptedOffset;
	}

	/**
	 * Returns the number of items.
	 * @return at least 1
	 */
	public int size() {
		return this.statuses.length;
	}

	/**
	 * Returns the state of an item, without its crash count.
	 * @param index the index of the item, from 0
	 * @return a constant of {@link ItemState}
	 */
	public int getState(int index) {
		return ItemState.stateOf(this.statuses[index]);
	}

	/**
	 * Returns how many upstreams were lost while running an item.
	 * @param index the index of the item, from 0
	 * @return 0 to 15, where 15 also stands for more
	 */
	public int getCrashes(int index) {
		return ItemState.crashCount(this.statuses[index]);
	}

	/**
	 * Returns the offset of the record with the outcome of an item, or with its body
	 * while there is no outcome.
	 * @param index the index of the item, from 0
	 * @return the offset
	 */
	public long getOffset(int index) {
		return this.offsets[index];
	}

	/**
	 * Returns the number of items in a state.
	 * @param state a constant of {@link ItemState}
	 * @return at least 0
	 */
	public int count(int state) {
		return this.counts[state];
	}

	/**
	 * Returns the number of items without an outcome.
	 * @return at least 0
	 */
	public int countOpen() {
		return this.counts[ItemState.PENDING] + this.counts[ItemState.INTENDED];
	}

	/**
	 * Returns whether the job was cancelled while items had no outcome.
	 * @return true if it was cancelled
	 */
	public boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Returns whether every item has an outcome or was cancelled.
	 * @return true if nothing is left to run
	 */
	public boolean isFinished() {
		return countOpen() == 0;
	}

	/**
	 * Returns when the job finished.
	 * @return milliseconds since the epoch by the clock of the log writer, 0 while
	 * unfinished
	 */
	public long getFinishedWallMillis() {
		return this.finishedWallMillis;
	}

	/**
	 * Returns an independent copy, for use outside the thread that applies records.
	 * @return the copy, never null
	 */
	public JobState snapshot() {
		return copy();
	}

	long getCancelledOffset() {
		return this.cancelledOffset;
	}

	byte[] getStatuses() {
		return this.statuses;
	}

	boolean finish(int index, int state, long offset, long wallMillis) {
		if (index < 0 || index >= this.statuses.length || this.cancelled || !ItemState.isOpen(getState(index))) {
			return false;
		}
		setState(index, state);
		this.offsets[index] = offset;
		if (isFinished()) {
			this.finishedWallMillis = wallMillis;
		}
		return true;
	}

	boolean markIntended(int index) {
		if (index < 0 || index >= this.statuses.length || getState(index) != ItemState.PENDING) {
			return false;
		}
		setState(index, ItemState.INTENDED);
		return true;
	}

	boolean addCrash(int index) {
		if (index < 0 || index >= this.statuses.length || !ItemState.isOpen(getState(index))) {
			return false;
		}
		this.statuses[index] = ItemState.withCrash(this.statuses[index]);
		return true;
	}

	boolean cancel(long offset, long wallMillis) {
		if (this.cancelled || isFinished()) {
			return false;
		}
		for (int i = 0; i < this.statuses.length; i++) {
			if (ItemState.isOpen(getState(i))) {
				setState(i, ItemState.CANCELLED);
			}
		}
		markCancelled(offset, wallMillis);
		return true;
	}

	void markCancelled(long offset, long wallMillis) {
		this.cancelled = true;
		this.cancelledOffset = offset;
		this.finishedWallMillis = wallMillis;
	}

	void setFinishedWallMillis(long wallMillis) {
		this.finishedWallMillis = wallMillis;
	}

	void updateBodyOffset(int index, long offset) {
		if (index >= 0 && index < this.statuses.length) {
			int state = getState(index);
			if (ItemState.isOpen(state) || state == ItemState.CANCELLED) {
				this.offsets[index] = Math.max(this.offsets[index], offset);
			}
		}
	}

	void updateResultOffset(int index, int state, long offset) {
		if (index >= 0 && index < this.statuses.length && getState(index) == state) {
			this.offsets[index] = Math.max(this.offsets[index], offset);
		}
	}

	JobState copy() {
		JobState copy = new JobState(this.accepted, this.acceptedOffset, this.statuses.clone(), this.offsets.clone());
		copy.cancelled = this.cancelled;
		copy.cancelledOffset = this.cancelledOffset;
		copy.finishedWallMillis = this.finishedWallMillis;
		return copy;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof JobState that && this.accepted.equals(that.accepted)
				&& this.acceptedOffset == that.acceptedOffset && this.cancelled == that.cancelled
				&& this.cancelledOffset == that.cancelledOffset && this.finishedWallMillis == that.finishedWallMillis
				&& Arrays.equals(this.statuses, that.statuses) && Arrays.equals(this.offsets, that.offsets);
	}

	@Override
	public int hashCode() {
		return this.accepted.hashCode();
	}

	@Override
	public String toString() {
		return getId() + " states " + Arrays.toString(this.counts) + " cancelled " + this.cancelled + " finished "
				+ this.finishedWallMillis + " statuses " + Arrays.toString(this.statuses) + " offsets "
				+ Arrays.toString(this.offsets);
	}

	private void setState(int index, int state) {
		this.counts[getState(index)]--;
		this.statuses[index] = ItemState.withState(this.statuses[index], state);
		this.counts[state]++;
	}

}
