package org.wigeonglade.core.batch;

/**
 * Spreads the appends of one host over time (token bucket), so that all hosts together
 * stay within the append budget of the log. Shared by the writers of a host; thread-safe.
 */
public final class AppendPacer {

	/** Appends that may follow each other at once after an idle time. */
	private static final double BURST = 2.0;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private double ratePerSecond;

	private double tokens = BURST;

	private long lastMillis = Long.MIN_VALUE;

	/**
	 * Creates a pacer.
	 * @param ratePerSecond the appends a second, above 0
	 */
	public AppendPacer(double ratePerSecond) {
		this.ratePerSecond = ratePerSecond;
	}

	/**
	 * Changes the rate, for example because the number of live hosts changed.
	 * @param newRate the appends a second, above 0
	 */
	public synchronized void setRate(double newRate) {
		this.ratePerSecond = newRate;
	}

	/**
	 * Takes the right to append once.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return 0 if the append may begin now, otherwise the milliseconds to wait before
	 * asking again
	 */
	public synchronized long tryTake(long nowMillis) {
		if (this.lastMillis != Long.MIN_VALUE) {
			double earned = (nowMillis - this.lastMillis) * this.ratePerSecond / MILLIS_PER_SECOND;
			this.tokens = Math.min(BURST, this.tokens + earned);
		}
		this.lastMillis = nowMillis;
		if (this.tokens >= 1.0) {
			this.tokens -= 1.0;
			return 0;
		}
		return Math.max(1, (long) Math.ceil((1.0 - this.tokens) * MILLIS_PER_SECOND / this.ratePerSecond));
	}

}
