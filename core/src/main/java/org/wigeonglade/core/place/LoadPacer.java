package org.wigeonglade.core.place;

/**
 * Rate limiter of model loads. Each lease holder uses an equal share of the rate of the
 * weight store, so that all together stay within it. Not thread-safe.
 */
public final class LoadPacer {

	private static final double MILLIS_PER_MINUTE = 60_000;

	private double permits = 1;

	private long lastMillis;

	/**
	 * Creates a rate limiter that permits one load at once.
	 * @param nowMillis the local monotonic time
	 */
	public LoadPacer(long nowMillis) {
		this.lastMillis = nowMillis;
	}

	/**
	 * Refills the permits and returns how many loads may begin now. Unused permits do not
	 * accumulate beyond one, so that an idle period is not followed by a burst of loads.
	 * @param nowMillis the local monotonic time
	 * @param loadsPerMinute the rate for the whole fleet
	 * @param holders the number of lease holders that share it, at least 1
	 * @return 0 or 1
	 */
	public int getPermits(long nowMillis, int loadsPerMinute, int holders) {
		double share = (double) loadsPerMinute / Math.max(1, holders);
		this.permits = Math.min(1, this.permits + (nowMillis - this.lastMillis) / MILLIS_PER_MINUTE * share);
		this.lastMillis = nowMillis;
		return (int) this.permits;
	}

	/**
	 * Consumes permits for loads that begin.
	 * @param count the number of permits, at most what {@link #getPermits} returned
	 */
	public void take(int count) {
		this.permits -= count;
	}

}
