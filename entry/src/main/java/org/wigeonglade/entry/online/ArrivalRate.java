package org.wigeonglade.entry.online;

/**
 * Estimates the recent arrival rate by an exponentially decaying count. Not thread-safe.
 */
final class ArrivalRate {

	/** Time after which an arrival has 1/e of its weight, in nanoseconds. */
	private static final double DECAY_NANOS = 2e9;

	private double weight;

	private long lastNanos;

	void recordArrival(long nowNanos) {
		this.weight = decayedWeight(nowNanos) + 1;
		this.lastNanos = nowNanos;
	}

	double getPerSecond(long nowNanos) {
		return decayedWeight(nowNanos) / (DECAY_NANOS / 1e9);
	}

	private double decayedWeight(long nowNanos) {
		return this.weight * Math.exp(-Math.max(0, nowNanos - this.lastNanos) / DECAY_NANOS);
	}

}
