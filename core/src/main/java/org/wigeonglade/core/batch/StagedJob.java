package org.wigeonglade.core.batch;

import java.util.Arrays;

/**
 * Collects the offsets of the chunks of a job that is not accepted yet.
 */
final class StagedJob {

	/**
	 * Bounds the array that a damaged index could ask for; jobs have at most 150,000
	 * items.
	 */
	private static final int MAX_ITEMS = 1 << 20;

	private long[] offsets;

	private int length;

	private int distinct;

	private long lastWallMillis;

	StagedJob() {
		this(new long[0], 0, 0, 0);
	}

	private StagedJob(long[] offsets, int length, int distinct, long lastWallMillis) {
		this.offsets = offsets;
		this.length = length;
		this.distinct = distinct;
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
			this.distinct++;
			this.offsets[index] = offset;
		}
		this.length = Math.max(this.length, index + 1);
	}

	boolean isComplete(int items) {
		return items > 0 && this.length == items && this.distinct == items;
	}

	long[] takeOffsets() {
		return Arrays.copyOf(this.offsets, this.length);
	}

	long getLastWallMillis() {
		return this.lastWallMillis;
	}

	StagedJob copy() {
		return new StagedJob(this.offsets.clone(), this.length, this.distinct, this.lastWallMillis);
	}

}
