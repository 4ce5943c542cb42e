package org.wigeonglade.core.batch;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Items of one job that wait to be granted. Keeps one bit an item and remembers more only
 * for the few items that failed before.
 */
final class JobQueue {

	/** Tokens of an item before any item of the job is complete. */
	private static final double FIRST_TOKEN_ESTIMATE = 256;

	private static final double ESTIMATE_SMOOTHING = 0.1;

	private final JobState job;

	private final BitSet taken;

	private final BitSet settled = new BitSet();

	private final Deque<Integer> returned = new ArrayDeque<>();

	private final Map<Integer, Integer> attempts = new HashMap<>();

	private final Map<Integer, Integer> crashes = new HashMap<>();

	private int cursor;

	private int takenCount;

	private double tokenEstimate = FIRST_TOKEN_ESTIMATE;

	JobQueue(JobState job) {
		this.job = job;
		this.taken = new BitSet(job.size());
	}

	JobState getJob() {
		return this.job;
	}

	// Returns -1 if no item waits that is not suspect.
	int poll() {
		while (!this.returned.isEmpty()) {
			int index = this.returned.poll();
			if (isReturned(index)) {
				take(index);
				return index;
			}
		}
		while (this.cursor < this.job.size()) {
			int index = this.cursor++;
			if (isWaiting(index) && getCrashes(index) == 0) {
				take(index);
				return index;
			}
		}
		return -1;
	}

	boolean isEmpty() {
		while (!this.returned.isEmpty() && !isReturned(this.returned.peek())) {
			this.returned.poll();
		}
		while (this.cursor < this.job.size() && !(isWaiting(this.cursor) && getCrashes(this.cursor) == 0)) {
			this.cursor++;
		}
		return this.returned.isEmpty() && this.cursor >= this.job.size();
	}

	boolean isWaiting(int index) {
		return !this.taken.get(index) && this.job.getState(index) == ItemState.PENDING;
	}

	// A non-idempotent item that was given back without having run keeps its intent.
	boolean isReturned(int index) {
		return !this.taken.get(index) && ItemState.isOpen(this.job.getState(index)) && getCrashes(index) == 0;
	}

	boolean isSettled(int index) {
		return this.settled.get(index);
	}

	// The item stays taken until its outcome was read back.
	void settle(int index) {
		take(index);
		this.settled.set(index);
	}

	boolean isTaken(int index) {
		return this.taken.get(index);
	}

	void take(int index) {
		if (!this.taken.get(index)) {
			this.taken.set(index);
			this.takenCount++;
		}
	}

	void putBack(int index) {
		release(index);
		this.returned.add(index);
	}

	void release(int index) {
		if (this.taken.get(index)) {
			this.taken.clear(index);
			this.takenCount--;
		}
	}

	void finish(int index) {
		this.settled.clear(index);
		release(index);
		this.attempts.remove(index);
		this.crashes.remove(index);
	}

	int countWaiting() {
		return this.job.countOpen() - this.takenCount;
	}

	int plusAttempt(int index) {
		return this.attempts.merge(index, 1, Integer::sum);
	}

	int getAttempts(int index) {
		return this.attempts.getOrDefault(index, 0);
	}

	int plusCrash(int index) {
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

	void learnTokens(long tokens) {
		this.tokenEstimate += ESTIMATE_SMOOTHING * (tokens - this.tokenEstimate);
	}

}
