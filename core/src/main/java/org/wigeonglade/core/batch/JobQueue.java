package org.wigeonglade.core.batch;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Queue of the items of one job that wait to be granted. Holds one bit per item, and more
 * only for the few items that were requeued, failed or crashed an upstream.
 */
final class JobQueue {

	/** Estimated tokens of an item until an item of the job has completed. */
	private static final double INITIAL_TOKEN_ESTIMATE = 256;

	private static final double ESTIMATE_SMOOTHING = 0.1;

	private final JobState job;

	/** Items that are granted or decided, or that an earlier owner may have granted. */
	private final BitSet reserved;

	/** Items whose outcome is decided, but not yet read back from the log. */
	private final BitSet decided = new BitSet();

	private final Deque<Integer> requeued = new ArrayDeque<>();

	private final Map<Integer, Integer> attempts = new HashMap<>();

	private final Map<Integer, Integer> crashes = new HashMap<>();

	private int nextIndex;

	private int reservedCount;

	private double tokenEstimate = INITIAL_TOKEN_ESTIMATE;

	JobQueue(JobState job) {
		this.job = job;
		this.reserved = new BitSet(job.size());
	}

	JobState getJob() {
		return this.job;
	}

	// Reserves the next item that is not suspect. Returns its index, -1 if there is none.
	int poll() {
		while (!this.requeued.isEmpty()) {
			int index = this.requeued.poll();
			if (isGrantable(index)) {
				reserve(index);
				return index;
			}
		}
		while (this.nextIndex < this.job.size()) {
			int index = this.nextIndex++;
			if (isWaiting(index) && getCrashes(index) == 0) {
				reserve(index);
				return index;
			}
		}
		return -1;
	}

	boolean isEmpty() {
		while (!this.requeued.isEmpty() && !isGrantable(this.requeued.peek())) {
			this.requeued.poll();
		}
		while (this.nextIndex < this.job.size() && !(isWaiting(this.nextIndex) && getCrashes(this.nextIndex) == 0)) {
			this.nextIndex++;
		}
		return this.requeued.isEmpty() && this.nextIndex >= this.job.size();
	}

	boolean isWaiting(int index) {
		return !this.reserved.get(index) && this.job.getState(index) == ItemState.PENDING;
	}

	// Includes state INTENDED: a non-idempotent item that was returned without having run
	// keeps its recorded intent.
	boolean isGrantable(int index) {
		return !this.reserved.get(index) && ItemState.isOpen(this.job.getState(index)) && getCrashes(index) == 0;
	}

	boolean isDecided(int index) {
		return this.decided.get(index);
	}

	// The item stays reserved until its outcome is read back from the log.
	void markDecided(int index) {
		reserve(index);
		this.decided.set(index);
	}

	boolean isReserved(int index) {
		return this.reserved.get(index);
	}

	void reserve(int index) {
		if (!this.reserved.get(index)) {
			this.reserved.set(index);
			this.reservedCount++;
		}
	}

	void requeue(int index) {
		release(index);
		this.requeued.add(index);
	}

	void release(int index) {
		if (this.reserved.get(index)) {
			this.reserved.clear(index);
			this.reservedCount--;
		}
	}

	void finish(int index) {
		this.decided.clear(index);
		release(index);
		this.attempts.remove(index);
		this.crashes.remove(index);
	}

	int countWaiting() {
		return this.job.countOpen() - this.reservedCount;
	}

	int incrementAttempts(int index) {
		return this.attempts.merge(index, 1, Integer::sum);
	}

	int getAttempts(int index) {
		return this.attempts.getOrDefault(index, 0);
	}

	int incrementCrashes(int index) {
		int total = getCrashes(index) + 1;
		this.crashes.put(index, total);
		return total;
	}

	int getCrashes(int index) {
		return Math.max(this.crashes.getOrDefault(index, 0), this.job.getCrashes(index));
	}

	double getTokenEstimate() {
		return this.tokenEstimate;
	}

	void updateTokenEstimate(long tokens) {
		this.tokenEstimate += ESTIMATE_SMOOTHING * (tokens - this.tokenEstimate);
	}

}
