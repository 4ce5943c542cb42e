package org.wigeonglade.core.time;

/**
 * Gives the time to decisions. Durations use {@link #nanos()}, which never goes back;
 * {@link #wallMillis()} is for records and people only.
 */
public interface Ticker {

	/**
	 * Returns the system clocks.
	 * @return a ticker, never null
	 */
	static Ticker system() {
		return SystemTicker.INSTANCE;
	}

	/**
	 * Returns the monotonic time.
	 * @return nanoseconds since an arbitrary point
	 */
	long nanos();

	/**
	 * Returns the wall-clock time.
	 * @return milliseconds since the epoch
	 */
	long wallMillis();

	/**
	 * Returns the monotonic time in milliseconds.
	 * @return milliseconds since an arbitrary point
	 */
	default long millis() {
		return nanos() / 1_000_000L;
	}

}
