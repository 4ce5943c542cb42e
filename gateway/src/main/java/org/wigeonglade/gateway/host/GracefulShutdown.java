package org.wigeonglade.gateway.host;

import java.time.Duration;

/**
 * The phases of a graceful shutdown, by the time since the signal. Every phase has a time
 * limit, because callers may keep using open connections until the process ends, so that
 * the host never becomes idle by itself. Immutable.
 *
 * @param startMillis the monotonic time of the signal, in milliseconds
 * @param gracePeriod the grace period until the process is killed, not null
 */
record GracefulShutdown(long startMillis, Duration gracePeriod) {

	/**
	 * Time in milliseconds after the signal until the load balancer opens no further
	 * connections: it stops after two failed probes, which it sends once a second. Until
	 * then every request is accepted, and idle connections are kept.
	 */
	static final long BALANCER_DELAY_MILLIS = 2_800;

	/**
	 * Fraction of the grace period after which items in progress are cancelled and left
	 * to other hosts.
	 */
	static final double ITEM_DRAIN_FRACTION = 0.6;

	/** Fraction of the grace period after which requests in progress are abandoned. */
	static final double DRAIN_FRACTION = 0.9;

	long getElapsed(long nowMillis) {
		return nowMillis - this.startMillis;
	}

	boolean isKeepingIdleConnections(long nowMillis) {
		return getElapsed(nowMillis) < BALANCER_DELAY_MILLIS;
	}

	boolean isRunningItems(long nowMillis) {
		return nowMillis < getItemDrainEndMillis();
	}

	// The monotonic time at which items in progress are cancelled.
	long getItemDrainEndMillis() {
		return this.startMillis + Math.round(this.gracePeriod.toMillis() * ITEM_DRAIN_FRACTION);
	}

	// A request is accepted after the delay of the load balancer only if its own limit
	// ends before requests are abandoned: callers are served by other hosts by then.
	boolean isAccepting(Duration limit, long nowMillis) {
		return isDraining(nowMillis)
				&& (isKeepingIdleConnections(nowMillis) || limit.compareTo(getRemaining(nowMillis)) <= 0);
	}

	// The time until requests in progress are abandoned.
	Duration getRemaining(long nowMillis) {
		return Duration.ofMillis(Math.max(0, drainMillis() - getElapsed(nowMillis)));
	}

	boolean isDraining(long nowMillis) {
		return getElapsed(nowMillis) < drainMillis();
	}

	private long drainMillis() {
		return Math.round(this.gracePeriod.toMillis() * DRAIN_FRACTION);
	}

}
