package org.wigeonglade.entry.online;

/**
 * Measures the recent rate of arrivals with exponential decay. Not thread-safe.
 */
final class ArrivalRate {

	/** Time over which an arrival loses most of its weight, in nanoseconds. */
	private static final double WINDOW_NANOS = 2e9;

	private double weight;

	private long lastNanos;

	void plusArrival(long nowNanos) {
		this.weight = decayed(nowNanos) + 1;
		this.lastNanos = nowNanos;
	}

	double getPerSecond(long nowNanos) {
		return decayed(nowNanos) / (WINDOW_NANOS / 1e9);
	}

	private double decayed(long nowNanos) {
		return this.weight * Math.exp(-Math.max(0, nowNanos - this.lastNanos) / WINDOW_NANOS);
	}

}
