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

	private int samples;

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
	 * Adds the sample of one completed request. The first ones count equally: the default
	 * of a service with short requests would otherwise hide for minutes on a host with
	 * few of them that its reports lag behind by a request or more.
	 * @param holdTime the time for which it occupied a slot, not null
	 */
	public void addSample(Duration holdTime) {
		this.samples++;
		this.meanMillis += Math.max(SMOOTHING_FACTOR, 1.0 / this.samples) * (holdTime.toMillis() - this.meanMillis);
	}

	/**
	 * Returns the mean at a runner of a known speed.
	 * @param speed the speed of the runner relative to the mean of the service, above 0
	 * @return the mean, rounded to milliseconds, never null
	 */
	public Duration getMean(double speed) {
		return Duration.ofMillis(Math.round(this.meanMillis / speed));
	}

}
