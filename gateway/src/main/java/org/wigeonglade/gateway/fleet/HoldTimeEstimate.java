package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * Estimates the time for which a request occupies a slot, as an exponentially weighted
 * moving average. Not thread-safe.
 */
public final class HoldTimeEstimate {

	/** Weight of the newest sample; the mean covers about the last twenty requests. */
	private static final double SMOOTHING_FACTOR = 0.05;

	/** Initial mean in milliseconds, before any request has completed. */
	private static final double INITIAL_MILLIS = 500;

	private double meanMillis;

	private HoldTimeEstimate(double initialMillis) {
		this.meanMillis = initialMillis;
	}

	/**
	 * Returns an estimate without samples, which starts at a default mean.
	 * @return a new estimate, never null
	 */
	public static HoldTimeEstimate initial() {
		return new HoldTimeEstimate(INITIAL_MILLIS);
	}

	/**
	 * Returns an estimate that starts at the current mean of another one.
	 * @param other the other estimate, not null
	 * @return a new estimate, independent of the other one, never null
	 */
	public static HoldTimeEstimate copyOf(HoldTimeEstimate other) {
		return new HoldTimeEstimate(other.meanMillis);
	}

	/**
	 * Adds the sample of one completed request.
	 * @param holdTime the time for which it occupied a slot, not null
	 */
	public void addSample(Duration holdTime) {
		this.meanMillis += SMOOTHING_FACTOR * (holdTime.toMillis() - this.meanMillis);
	}

	/**
	 * Returns the current mean.
	 * @return the mean, rounded to milliseconds, never null
	 */
	public Duration getMean() {
		return Duration.ofMillis(Math.round(this.meanMillis));
	}

}
