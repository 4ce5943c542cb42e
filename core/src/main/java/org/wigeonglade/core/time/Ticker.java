package org.wigeonglade.core.time;

/**
 * Source of time. Durations are measured with {@link #nanos()}, which never decreases;
 * {@link #wallMillis()} is only for records and display.
 */
public interface Ticker {

	/**
	 * Returns the system clocks.
	 * @return the shared ticker, never null
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
