package org.wigeonglade.core.batch;

/**
 * Token bucket that limits the append rate of one host, so that all hosts together stay
 * within the append budget of the log. Shared by the log writers of a host. Thread-safe.
 */
public final class AppendPacer {

	/**
	 * Bucket capacity: the number of appends that may be made at once after an idle
	 * period.
	 */
	private static final double BURST = 2.0;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private double ratePerSecond;

	private double tokens = BURST;

	private long lastRefillMillis = Long.MIN_VALUE;

	/**
	 * Creates a pacer.
	 * @param ratePerSecond appends per second, greater than 0
	 */
	public AppendPacer(double ratePerSecond) {
		this.ratePerSecond = ratePerSecond;
	}

	/**
	 * Changes the rate, for example after the number of live hosts changed.
	 * @param newRate appends per second, greater than 0
	 */
	public synchronized void setRate(double newRate) {
		this.ratePerSecond = newRate;
	}

	/**
	 * Takes one token if one is available.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return 0 if a token was taken and the append may begin, otherwise the milliseconds
	 * until the next token is available
	 */
	public synchronized long tryAcquire(long nowMillis) {
		if (this.lastRefillMillis != Long.MIN_VALUE) {
			double refill = (nowMillis - this.lastRefillMillis) * this.ratePerSecond / MILLIS_PER_SECOND;
			this.tokens = Math.min(BURST, this.tokens + refill);
		}
		this.lastRefillMillis = nowMillis;
		if (this.tokens >= 1.0) {
			this.tokens -= 1.0;
			return 0;
		}
		return Math.max(1, (long) Math.ceil((1.0 - this.tokens) * MILLIS_PER_SECOND / this.ratePerSecond));
	}

}
