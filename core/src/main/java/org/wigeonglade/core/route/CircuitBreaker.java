package org.wigeonglade.core.route;

import java.time.Duration;

/**
 * Circuit breaker of one upstream. It opens after consecutive failures and then admits
 * one request at a time as a probe, after an interval that doubles with each failed
 * probe. Immutable.
 */
public final class CircuitBreaker {

	/** Consecutive failures that open the breaker. */
	private static final int FAILURE_THRESHOLD = 3;

	private static final long INITIAL_OPEN_NANOS = Duration.ofMillis(500).toNanos();

	private static final long MAX_OPEN_NANOS = Duration.ofSeconds(10).toNanos();

	/** The breaker of an upstream without recent failures. */
	public static final CircuitBreaker CLOSED = new CircuitBreaker(0, 0, 0, false);

	private final int failures;

	private final long openDurationNanos;

	private final long openUntilNanos;

	private final boolean probing;

	private CircuitBreaker(int failures, long openDurationNanos, long openUntilNanos, boolean probing) {
		this.failures = failures;
		this.openDurationNanos = openDurationNanos;
		this.openUntilNanos = openUntilNanos;
		this.probing = probing;
	}

	/**
	 * Returns whether the breaker is open or half-open.
	 * @return false if requests are sent without restriction
	 */
	public boolean isOpen() {
		return this.openDurationNanos > 0;
	}

	/**
	 * Returns whether a request may be sent.
	 * @param nowNanos the monotonic time
	 * @return true if the breaker is closed, or open and due for a probe
	 */
	public boolean allows(long nowNanos) {
		return !isOpen() || (!this.probing && nowNanos - this.openUntilNanos >= 0);
	}

	/**
	 * Returns the breaker after a request was sent, which is the probe if it is open.
	 * @return the new state, never null
	 */
	public CircuitBreaker plusRequest() {
		return isOpen() ? new CircuitBreaker(this.failures, this.openDurationNanos, this.openUntilNanos, true) : this;
	}

	/**
	 * Returns the breaker after a successful response.
	 * @return the new state, never null
	 */
	public CircuitBreaker plusSuccess() {
		return CLOSED;
	}

	/**
	 * Returns the breaker after a request whose end says nothing about the health of the
	 * upstream, such as a cancellation.
	 * @return the new state, never null
	 */
	public CircuitBreaker plusAbandoned() {
		return this.probing ? new CircuitBreaker(this.failures, this.openDurationNanos, this.openUntilNanos, false)
				: this;
	}

	/**
	 * Returns the breaker after a failure.
	 * @param connectionLost whether the connection to the upstream was lost, which opens
	 * the breaker at once
	 * @param nowNanos the monotonic time
	 * @return the new state, never null
	 */
	public CircuitBreaker plusFailure(boolean connectionLost, long nowNanos) {
		int count = this.failures + 1;
		if (!connectionLost && !isOpen() && count < FAILURE_THRESHOLD) {
			return new CircuitBreaker(count, 0, 0, false);
		}
		if (isOpen() && !this.probing) {
			return this;
		}
		long interval = isOpen() ? Math.min(MAX_OPEN_NANOS, this.openDurationNanos * 2) : INITIAL_OPEN_NANOS;
		return new CircuitBreaker(count, interval, nowNanos + interval, false);
	}

}
