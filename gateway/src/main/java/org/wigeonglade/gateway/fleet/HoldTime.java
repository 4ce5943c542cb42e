package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * Learns how long a request holds a slot, as an exponentially weighted mean. Not
 * thread-safe.
 */
public final class HoldTime {

	/** Weight of the newest request: about the last twenty count. */
	private static final double WEIGHT = 0.05;

	/** Assumed until requests have been seen, in milliseconds. */
	private static final double INITIAL_MILLIS = 500;

	private double millis;

	private HoldTime(double millis) {
		this.millis = millis;
	}

	/**
	 * Returns a mean that nothing is known of.
	 * @return a mean, never null
	 */
	public static HoldTime unknown() {
		return new HoldTime(INITIAL_MILLIS);
	}

	/**
	 * Returns a mean that starts at the present value of another one.
	 * @param other the other mean, not null
	 * @return a mean, never null
	 */
	public static HoldTime startingAt(HoldTime other) {
		return new HoldTime(other.millis);
	}

	/**
	 * Adds the time of one complete request.
	 * @param hold the time, not null
	 */
	public void add(Duration hold) {
		this.millis += WEIGHT * (hold.toMillis() - this.millis);
	}

	/**
	 * Returns the mean.
	 * @return the mean, never null
	 */
	public Duration getMean() {
		return Duration.ofMillis(Math.round(this.millis));
	}

}
