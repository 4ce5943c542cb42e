package org.wigeonglade.core.admit;

import java.time.Duration;

/**
 * Estimates the wait in a fair queue from the observed rate at which work leaves it.
 * Immutable.
 */
public final class WaitEstimate {

	/** Weight of a new interval in the moving mean. */
	private static final double SMOOTHING = 0.1;

	/** Longest interval that one observation may add; idle time is no service time. */
	private static final double LONGEST_INTERVAL_NANOS = 1e9;

	private final double intervalNanos;

	private final long lastNanos;

	private WaitEstimate(double intervalNanos, long lastNanos) {
		this.intervalNanos = intervalNanos;
		this.lastNanos = lastNanos;
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
	 * Returns the estimate after work ended and its place was free for waiting work.
	 * @param nowNanos the monotonic time
	 * @return the new estimate, never null
	 */
	public WaitEstimate plusDeparture(long nowNanos) {
		double interval = Math.min(LONGEST_INTERVAL_NANOS, Math.max(0, nowNanos - this.lastNanos));
		double mean = (this.intervalNanos == 0) ? interval
				: this.intervalNanos + SMOOTHING * (interval - this.intervalNanos);
		return new WaitEstimate(mean, nowNanos);
	}

	/**
	 * Estimates the wait of the next entry of a workspace.
	 * @param ownAhead the entries of the workspace that wait already
	 * @param weight the share of the workspace, at least 1
	 * @param waitingWeight the sum of the shares of all workspaces that wait, with this
	 * one
	 * @return the expected wait, never negative
	 */
	public Duration estimate(int ownAhead, int weight, int waitingWeight) {
		double share = (double) weight / Math.max(weight, waitingWeight);
		return Duration.ofNanos((long) (this.intervalNanos * (ownAhead + 1) / share));
	}

}
