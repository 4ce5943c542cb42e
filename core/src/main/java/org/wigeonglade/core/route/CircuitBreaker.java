package org.wigeonglade.core.route;

import java.time.Duration;

/**
 * Keeps work away from an upstream that fails. Immutable. After an interval that doubles
 * with each failed probe, one request is let through as a probe.
 */
public final class CircuitBreaker {

	/** Failures in a row that open the breaker. */
	private static final int FAILURES_TO_OPEN = 3;

	private static final long FIRST_OPEN_NANOS = Duration.ofMillis(500).toNanos();

	private static final long LONGEST_OPEN_NANOS = Duration.ofSeconds(10).toNanos();

	/** A breaker of an upstream that has not failed. */
	public static final CircuitBreaker CLOSED = new CircuitBreaker(0, 0, 0, false);

	private final int failures;

	private final long openNanos;

	private final long openUntilNanos;

	private final boolean probing;

	private CircuitBreaker(int failures, long openNanos, long openUntilNanos, boolean probing) {
		this.failures = failures;
		this.openNanos = openNanos;
		this.openUntilNanos = openUntilNanos;
		this.probing = probing;
	}

	/**
	 * Returns whether the breaker is open or probes.
	 * @return false in normal operation
	 */
	public boolean isOpen() {
		return this.openNanos > 0;
	}

	/**
	 * Returns whether a request may be sent.
	 * @param nowNanos the monotonic time
	 * @return true if it may be sent, as a probe if the breaker is open
	 */
	public boolean allows(long nowNanos) {
		return !isOpen() || (!this.probing && nowNanos - this.openUntilNanos >= 0);
	}

	/**
	 * Returns the breaker after a request was sent.
	 * @return the new state, never null
	 */
	public CircuitBreaker plusSent() {
		return isOpen() ? new CircuitBreaker(this.failures, this.openNanos, this.openUntilNanos, true) : this;
	}

	/**
	 * Returns the breaker after a good answer.
	 * @return the new state, never null
	 */
	public CircuitBreaker plusSuccess() {
		return CLOSED;
	}

	/**
	 * Returns the breaker after a request that ended without telling anything about the
	 * upstream, such as one that was cancelled.
	 * @return the new state, never null
	 */
	public CircuitBreaker plusAbandoned() {
		return this.probing ? new CircuitBreaker(this.failures, this.openNanos, this.openUntilNanos, false) : this;
	}

	/**
	 * Returns the breaker after a failure.
	 * @param crashed whether the upstream was lost, which opens the breaker at once
	 * @param nowNanos the monotonic time
	 * @return the new state, never null
	 */
	public CircuitBreaker plusFailure(boolean crashed, long nowNanos) {
		int count = this.failures + 1;
		if (!crashed && !isOpen() && count < FAILURES_TO_OPEN) {
			return new CircuitBreaker(count, 0, 0, false);
		}
		if (isOpen() && !this.probing) {
			return this;
		}
		long interval = isOpen() ? Math.min(LONGEST_OPEN_NANOS, this.openNanos * 2) : FIRST_OPEN_NANOS;
		return new CircuitBreaker(count, interval, nowNanos + interval, false);
	}

}
