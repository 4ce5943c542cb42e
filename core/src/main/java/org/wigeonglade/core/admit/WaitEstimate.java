package org.wigeonglade.core.admit;

import java.time.Duration;

/**
 * Estimate of the queueing delay in a fair queue, from a moving average of the interval
 * between departures. Immutable.
 */
public final class WaitEstimate {

	/** Weight of a new interval in the exponential moving average. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** Cap of an observed interval, because idle time is not service time. */
	private static final double MAX_INTERVAL_NANOS = 1e9;

	private final double meanIntervalNanos;

	private final long lastDepartureNanos;

	private WaitEstimate(double meanIntervalNanos, long lastDepartureNanos) {
		this.meanIntervalNanos = meanIntervalNanos;
		this.lastDepartureNanos = lastDepartureNanos;
	}

	/**
	 * Returns an estimate without observations.
	 * @param nowNanos the monotonic time
	 * @return an estimate, never null
	 */
	public static WaitEstimate initial(long nowNanos) {
		return new WaitEstimate(0, nowNanos);
	}

	/**
	 * Returns the estimate after work ended and freed a slot for queued work.
	 * @param nowNanos the monotonic time
	 * @return the new estimate, never null
	 */
	public WaitEstimate plusDeparture(long nowNanos) {
		double interval = Math.min(MAX_INTERVAL_NANOS, Math.max(0, nowNanos - this.lastDepartureNanos));
		double mean = (this.meanIntervalNanos == 0) ? interval
				: this.meanIntervalNanos + SMOOTHING_FACTOR * (interval - this.meanIntervalNanos);
		return new WaitEstimate(mean, nowNanos);
	}

	/**
	 * Estimates the delay of the next entry of a workspace.
	 * @param queuedOwn the entries of the workspace that are already queued
	 * @param weight the weight of the workspace, at least 1
	 * @param queuedWeight the sum of the weights of all workspaces with queued entries,
	 * this one included
	 * @return the expected delay, never negative
	 */
	public Duration estimate(int queuedOwn, int weight, int queuedWeight) {
		double share = (double) weight / Math.max(weight, queuedWeight);
		return Duration.ofNanos((long) (this.meanIntervalNanos * (queuedOwn + 1) / share));
	}

}
