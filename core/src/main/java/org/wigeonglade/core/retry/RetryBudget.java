package org.wigeonglade.core.retry;

/**
 * Allows retries up to a part of the successes plus a floor, so that retries cannot
 * multiply the load of a failing service. Immutable.
 */
public final class RetryBudget {

	/** Retries that are allowed each second in any case. */
	private static final double FLOOR_PER_SECOND = 1;

	/** Largest number of retries that can be saved up. */
	private static final double LARGEST = 50;

	/** Retries that a new service may make at once. */
	private static final double INITIAL = 10;

	private final double tokens;

	private final long lastNanos;

	private RetryBudget(double tokens, long lastNanos) {
		this.tokens = tokens;
		this.lastNanos = lastNanos;
	}

	/**
	 * Returns the budget of a service without history.
	 * @param nowNanos the monotonic time
	 * @return a budget, never null
	 */
	public static RetryBudget initial(long nowNanos) {
		return new RetryBudget(INITIAL, nowNanos);
	}

	/**
	 * Returns whether one retry is allowed.
	 * @param nowNanos the monotonic time
	 * @return true if a retry may be made
	 */
	public boolean allows(long nowNanos) {
		return at(nowNanos).tokens >= 1;
	}

	/**
	 * Returns the budget after a retry.
	 * @param nowNanos the monotonic time
	 * @return the new budget, never null
	 */
	public RetryBudget plusRetry(long nowNanos) {
		RetryBudget current = at(nowNanos);
		return new RetryBudget(Math.max(0, current.tokens - 1), current.lastNanos);
	}

	/**
	 * Returns the budget after a success.
	 * @param percent the part of successes that may be retried, 0 to 100
	 * @param nowNanos the monotonic time
	 * @return the new budget, never null
	 */
	public RetryBudget plusSuccess(int percent, long nowNanos) {
		RetryBudget current = at(nowNanos);
		return new RetryBudget(Math.min(LARGEST, current.tokens + percent / 100.0), current.lastNanos);
	}

	private RetryBudget at(long nowNanos) {
		double earned = Math.max(0, nowNanos - this.lastNanos) / 1e9 * FLOOR_PER_SECOND;
		return new RetryBudget(Math.min(LARGEST, this.tokens + earned), nowNanos);
	}

}
