package org.wigeonglade.gateway.fleet;

/**
 * Throughput of a runner process against the number of its requests, from which the knee
 * is read: the number beyond which more requests yield no more throughput. Not
 * thread-safe.
 */
final class ThroughputCurve {

	/** Decay in milliseconds; without requests beyond the knee it is tried again. */
	private static final double DECAY_MILLIS = 30_000;

	/**
	 * Slot time in milliseconds that a level needs to count. With 15% of the runs 2.5
	 * times slower, its mean then deviates by 7%.
	 */
	private static final double MIN_EVIDENCE_MILLIS = 10_000;

	/** Further requests that must have been observed beyond a knee, as a share of it. */
	private static final double MIN_EXCESS = 0.25;

	/** Throughput beyond the knee relative to that at the knee. */
	private static final double MAX_GAIN = 1.05;

	/** Most levels that are told apart. */
	private static final int MAX_LEVELS = 64;

	private final DecayingSum[] levels;

	private final int slots;

	/**
	 * Creates a curve without observations.
	 * @param slots the slots of the runner, at least 1
	 */
	ThroughputCurve(int slots) {
		this.slots = slots;
		this.levels = new DecayingSum[Math.min(slots, MAX_LEVELS)];
		clear();
	}

	void add(int requests, double work, double timeMillis, long nowMillis) {
		long level = Math.clamp((long) requests, 1, this.slots) * this.levels.length / this.slots;
		this.levels[(int) Math.max(0, level - 1)].add(work, timeMillis, nowMillis);
	}

	void clear() {
		for (int i = 0; i < this.levels.length; i++) {
			this.levels[i] = new DecayingSum(DECAY_MILLIS);
		}
	}

	/**
	 * Returns the knee.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the number of requests, {@link Integer#MAX_VALUE} if none was observed
	 */
	int getKnee(long nowMillis) {
		double most = 0;
		int highest = -1;
		double[] throughput = new double[this.levels.length];
		for (int i = 0; i < this.levels.length; i++) {
			double time = this.levels[i].getTime(nowMillis);
			if (time >= MIN_EVIDENCE_MILLIS) {
				throughput[i] = (i + 1) * this.levels[i].getWork(nowMillis) / time;
				most = Math.max(most, throughput[i]);
				highest = i;
			}
		}
		for (int i = 0; i < highest; i++) {
			boolean saturated = throughput[i] > 0 && most <= MAX_GAIN * throughput[i];
			if (saturated && highest + 1 >= (1 + MIN_EXCESS) * (i + 1)) {
				return (int) Math.ceil((i + 1.0) * this.slots / this.levels.length);
			}
		}
		return Integer.MAX_VALUE;
	}

}
