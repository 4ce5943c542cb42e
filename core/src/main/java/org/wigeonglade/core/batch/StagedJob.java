package org.wigeonglade.core.batch;

import java.util.Arrays;

/**
 * Offsets of the uploaded items of a job that is not accepted yet.
 */
final class StagedJob {

	/**
	 * Bounds the array for an invalid item index; jobs have at most 150,000 items.
	 */
	private static final int MAX_ITEMS = 1 << 20;

	private long[] offsets;

	private int length;

	private int distinctCount;

	private long lastWallMillis;

	StagedJob() {
		this(new long[0], 0, 0, 0);
	}

	private StagedJob(long[] offsets, int length, int distinctCount, long lastWallMillis) {
		this.offsets = offsets;
		this.length = length;
		this.distinctCount = distinctCount;
		this.lastWallMillis = lastWallMillis;
	}

	void put(int index, long offset, long wallMillis) {
		this.lastWallMillis = Math.max(this.lastWallMillis, wallMillis);
		if (index < 0 || index >= MAX_ITEMS) {
			return;
		}
		if (index >= this.offsets.length) {
			int old = this.offsets.length;
			this.offsets = Arrays.copyOf(this.offsets, Math.max(index + 1, Math.max(16, old * 2)));
			Arrays.fill(this.offsets, old, this.offsets.length, -1);
		}
		if (this.offsets[index] < 0) {
			this.distinctCount++;
			this.offsets[index] = offset;
		}
		this.length = Math.max(this.length, index + 1);
	}

	boolean isComplete(int items) {
		return items > 0 && this.length == items && this.distinctCount == items;
	}

	long[] copyOffsets() {
		return Arrays.copyOf(this.offsets, this.length);
	}

	long getLastWallMillis() {
		return this.lastWallMillis;
	}

	StagedJob copy() {
		return new StagedJob(this.offsets.clone(), this.length, this.distinctCount, this.lastWallMillis);
	}

}
