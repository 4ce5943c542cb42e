package org.wigeonglade.core.batch;

import java.util.Arrays;

import org.wigeonglade.schema.generated.log.JobAccepted;

/**
 * State of one accepted job. Holds nine bytes an item: the packed {@link ItemState} and
 * one log offset, which is that of the body until the item has a result and that of the
 * result afterwards. Confined to the thread that applies records.
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
			this.counts[ItemState.of(status)]++;
		}
	}

	/**
	 * Returns the acceptance as it was recorded.
	 * @return the acceptance, never null
	 */
	public JobAccepted getAccepted() {
		return this.accepted;
	}

	/**
	 * Returns the identifier of the job.
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
	 * Returns the state of an item.
	 * @param index the item, from 0
	 * @return a constant of {@link ItemState}
	 */
	public int getState(int index) {
		return ItemState.of(this.statuses[index]);
	}

	/**
	 * Returns how many upstreams were lost while they ran an item.
	 * @param index the item, from 0
	 * @return 0 to 15
	 */
	public int getCrashes(int index) {
		return ItemState.crashes(this.statuses[index]);
	}

	/**
	 * Returns the offset of the record that holds the result of an item, or its body
	 * while there is no result.
	 * @param index the item, from 0
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
	 * Returns whether the job was cancelled before all items had an outcome.
	 * @return true if it was cancelled
	 */
	public boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Returns whether every item has an outcome.
	 * @return true if nothing is left to run
	 */
	public boolean isFinished() {
		return countOpen() == 0;
	}

	/**
	 * Returns when the last item got its outcome.
	 * @return milliseconds since the epoch by the clock of the writer, 0 before
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
		move(index, state);
		this.offsets[index] = offset;
		if (isFinished()) {
			this.finishedWallMillis = wallMillis;
		}
		return true;
	}

	boolean intend(int index) {
		if (index < 0 || index >= this.statuses.length || getState(index) != ItemState.PENDING) {
			return false;
		}
		move(index, ItemState.INTENDED);
		return true;
	}

	boolean crash(int index) {
		if (index < 0 || index >= this.statuses.length || !ItemState.isOpen(getState(index))) {
			return false;
		}
		this.statuses[index] = ItemState.plusCrash(this.statuses[index]);
		return true;
	}

	boolean cancel(long offset, long wallMillis) {
		if (this.cancelled || isFinished()) {
			return false;
		}
		for (int i = 0; i < this.statuses.length; i++) {
			if (ItemState.isOpen(getState(i))) {
				move(i, ItemState.CANCELLED);
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

	void moveBody(int index, long offset) {
		if (index >= 0 && index < this.statuses.length) {
			int state = getState(index);
			if (ItemState.isOpen(state) || state == ItemState.CANCELLED) {
				this.offsets[index] = Math.max(this.offsets[index], offset);
			}
		}
	}

	void moveResult(int index, int state, long offset) {
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

	private void move(int index, int state) {
		this.counts[getState(index)]--;
		this.statuses[index] = ItemState.withState(this.statuses[index], state);
		this.counts[state]++;
	}

}
