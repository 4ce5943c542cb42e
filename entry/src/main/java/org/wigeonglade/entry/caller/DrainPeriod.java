package org.wigeonglade.entry.caller;

import java.time.Duration;

/**
 * Time that a planned stop leaves to requests. What accepts requests and what ends those
 * in progress read the same figures, so that no request is begun that is then cut.
 * Immutable.
 *
 * @param acceptUntilNanos the monotonic time from which requests are refused on arrival
 * @param answerByNanos the monotonic time at which all requests in progress are answered
 * @param endNanos the monotonic time at which connections are closed
 */
public record DrainPeriod(long acceptUntilNanos, long answerByNanos, long endNanos) {

	/** Time to write the responses to all requests in progress. */
	private static final Duration ANSWER_MARGIN = Duration.ofMillis(150);

	/**
	 * Returns the period of a stop that begins now.
	 * @param nowNanos the monotonic time
	 * @param balancerDelay the time until the load balancer sends no new connections, not
	 * null
	 * @param drainLimit the time after that for requests in progress, not null
	 * @return the period, never null
	 */
	public static DrainPeriod of(long nowNanos, Duration balancerDelay, Duration drainLimit) {
		long end = nowNanos + balancerDelay.plus(drainLimit).toNanos();
		long answerBy = end - ANSWER_MARGIN.toNanos();
		long acceptUntil = nowNanos + balancerDelay.toNanos();
		return new DrainPeriod((answerBy - acceptUntil < 0) ? answerBy : acceptUntil, answerBy, end);
	}

	/**
	 * Returns whether the time for requests in progress is over.
	 * @param nowNanos the monotonic time
	 * @return true from the end on
	 */
	public boolean isOver(long nowNanos) {
		return nowNanos - this.endNanos >= 0;
	}

	boolean isAccepting(long nowNanos) {
		return nowNanos - this.acceptUntilNanos < 0;
	}

	// Returns whether a request with this time limit ends before it would be interrupted.
	boolean fits(Duration limit, long nowNanos) {
		return limit.compareTo(getTimeToAnswer(nowNanos)) <= 0;
	}

	// May be negative.
	Duration getTimeToAnswer(long nowNanos) {
		return Duration.ofNanos(this.answerByNanos - nowNanos);
	}

}
