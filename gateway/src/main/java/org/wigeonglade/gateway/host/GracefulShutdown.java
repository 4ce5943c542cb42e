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
	 * Time in milliseconds after the signal until idle connections are closed. The load
	 * balancer stops opening connections after two failed probes, which it sends once a
	 * second.
	 */
	static final long IDLE_CLOSE_DELAY_MILLIS = 2_800;

	/**
	 * Fraction of the grace period after which items in progress are cancelled and left
	 * to other hosts.
	 */
	static final double ITEM_DRAIN_FRACTION = 0.6;

	/**
	 * Fraction of the grace period after which new requests are refused, because a
	 * request accepted later might not complete before the process ends.
	 */
	static final double ACCEPTANCE_FRACTION = 0.6;

	/** Fraction of the grace period after which requests in progress are abandoned. */
	static final double DRAIN_FRACTION = 0.9;

	long getElapsed(long nowMillis) {
		return nowMillis - this.startMillis;
	}

	boolean isKeepingIdleConnections(long nowMillis) {
		return getElapsed(nowMillis) < IDLE_CLOSE_DELAY_MILLIS;
	}

	boolean isRunningItems(long nowMillis) {
		return isWithin(ITEM_DRAIN_FRACTION, nowMillis);
	}

	boolean isAccepting(long nowMillis) {
		return isWithin(ACCEPTANCE_FRACTION, nowMillis);
	}

	boolean isDraining(long nowMillis) {
		return isWithin(DRAIN_FRACTION, nowMillis);
	}

	private boolean isWithin(double fraction, long nowMillis) {
		return getElapsed(nowMillis) < this.gracePeriod.toMillis() * fraction;
	}

}
