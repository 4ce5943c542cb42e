package org.wigeonglade.core.retry;

/**
 * Token bucket of the retries to one service. Successes and elapsed time add tokens, so
 * that retries cannot multiply the load of a failing service. Immutable.
 */
public final class RetryBudget {

	/** Retries per second that are allowed without any success. */
	private static final double MIN_RETRIES_PER_SECOND = 1;

	/** Capacity of the bucket, in retries. */
	private static final double MAX_TOKENS = 50;

	/** Tokens of a service without history. */
	private static final double INITIAL_TOKENS = 10;

	private final double tokens;

	private final long lastRefillNanos;

	private RetryBudget(double tokens, long lastRefillNanos) {
		this.tokens = tokens;
		this.lastRefillNanos = lastRefillNanos;
	}

	/**
	 * Returns the budget of a service without history.
	 * @param nowNanos the monotonic time
	 * @return a budget, never null
	 */
	public static RetryBudget initial(long nowNanos) {
		return new RetryBudget(INITIAL_TOKENS, nowNanos);
	}

	/**
	 * Returns whether one retry is allowed.
	 * @param nowNanos the monotonic time
	 * @return true if at least one token is left
	 */
	public boolean allows(long nowNanos) {
		return refill(nowNanos).tokens >= 1;
	}

	/**
	 * Returns the budget after a retry.
	 * @param nowNanos the monotonic time
	 * @return the new budget, never null
	 */
	public RetryBudget plusRetry(long nowNanos) {
		RetryBudget current = refill(nowNanos);
		return new RetryBudget(Math.max(0, current.tokens - 1), current.lastRefillNanos);
	}

	/**
	 * Returns the budget after a success.
	 * @param percent the retries added per 100 successes, 0 to 100
	 * @param nowNanos the monotonic time
	 * @return the new budget, never null
	 */
	public RetryBudget plusSuccess(int percent, long nowNanos) {
		RetryBudget current = refill(nowNanos);
		return new RetryBudget(Math.min(MAX_TOKENS, current.tokens + percent / 100.0), current.lastRefillNanos);
	}

	private RetryBudget refill(long nowNanos) {
		double added = Math.max(0, nowNanos - this.lastRefillNanos) / 1e9 * MIN_RETRIES_PER_SECOND;
		return new RetryBudget(Math.min(MAX_TOKENS, this.tokens + added), nowNanos);
	}

}
