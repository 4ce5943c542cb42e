package org.wigeonglade.gateway.host;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * The phases of a graceful shutdown, by the time since the signal. Every phase has a time
 * limit, because callers may keep using open connections until the process ends, so that
 * the host never becomes idle by itself. The only place that knows when work must be
 * over. Immutable.
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

	/** Fraction of the grace period at which all requests must have been answered. */
	static final double ANSWER_FRACTION = 0.9;

	/**
	 * Time in milliseconds from the last answer to the end of the process, in which
	 * responses are written and late timers fire.
	 */
	static final long WRITE_MILLIS = 150;

	/** Fraction of the grace period after which the process ends at the latest. */
	static final double MAX_END_FRACTION = 0.95;

	long getElapsed(long nowMillis) {
		return nowMillis - this.startMillis;
	}

	boolean isKeepingIdleConnections(long nowMillis) {
		return getElapsed(nowMillis) < BALANCER_DELAY_MILLIS;
	}

	boolean isRunningItems(long nowMillis) {
		return getElapsed(nowMillis) < this.gracePeriod.toMillis() * ITEM_DRAIN_FRACTION;
	}

	/**
	 * Decides whether a request is accepted. After the delay of the load balancer, it is
	 * only if its own limit ends in time: callers are served by other hosts by then.
	 * @param limitEndMillis the monotonic time at which the limit of the request ends
	 * @param nowMillis the monotonic time
	 * @return the monotonic time by which the request must be answered, empty if it is
	 * refused
	 */
	OptionalLong admit(long limitEndMillis, long nowMillis) {
		long end = getAnswerEndMillis();
		boolean fits = isKeepingIdleConnections(nowMillis) || limitEndMillis <= end;
		return (fits && nowMillis < end) ? OptionalLong.of(end) : OptionalLong.empty();
	}

	// The monotonic time at which all requests must have been answered.
	long getAnswerEndMillis() {
		return this.startMillis + Math.round(this.gracePeriod.toMillis() * ANSWER_FRACTION);
	}

	// Whether the process ends although requests are in progress.
	boolean isOver(long nowMillis) {
		long latest = Math.round(this.gracePeriod.toMillis() * MAX_END_FRACTION);
		return nowMillis >= Math.min(getAnswerEndMillis() + WRITE_MILLIS, this.startMillis + latest);
	}

}
