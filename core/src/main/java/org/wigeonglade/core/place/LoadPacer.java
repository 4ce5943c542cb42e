package org.wigeonglade.core.place;

/**
 * Paces loads of models so that all holders together stay within the rate of the weight
 * store: each takes an equal share. Not thread-safe.
 */
public final class LoadPacer {

	private static final double MILLIS_PER_MINUTE = 60_000;

	private double permits = 1;

	private long lastMillis;

	/**
	 * Creates a pacer that allows one load at once.
	 * @param nowMillis the local monotonic time
	 */
	public LoadPacer(long nowMillis) {
		this.lastMillis = nowMillis;
	}

	/**
	 * Returns how many loads may begin now. Unused permits do not add up beyond one, so
	 * that the holders cannot load all at once after a quiet time.
	 * @param nowMillis the local monotonic time
	 * @param loadsPerMinute the rate for the whole fleet
	 * @param holders the number of holders that share it, at least 1
	 * @return 0 or 1
	 */
	public int getPermits(long nowMillis, int loadsPerMinute, int holders) {
		double share = (double) loadsPerMinute / Math.max(1, holders);
		this.permits = Math.min(1, this.permits + (nowMillis - this.lastMillis) / MILLIS_PER_MINUTE * share);
		this.lastMillis = nowMillis;
		return (int) this.permits;
	}

	/**
	 * Takes permits for loads that begin.
	 * @param count the number, at most what was allowed
	 */
	public void take(int count) {
		this.permits -= count;
	}

}
