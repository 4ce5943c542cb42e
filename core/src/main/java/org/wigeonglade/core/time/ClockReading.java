package org.wigeonglade.core.time;

/**
 * A simultaneous reading of both clocks. The monotonic clock stops while a machine is
 * suspended, and the time of day may be set, so only both together measure a duration
 * that neither can shorten. Immutable.
 *
 * @param monotonicMillis the monotonic time in milliseconds
 * @param wallMillis the time of day in milliseconds since the epoch
 */
public record ClockReading(long monotonicMillis, long wallMillis) {

	/**
	 * Reads both clocks.
	 * @param ticker the clocks, not null
	 * @return the reading, never null
	 */
	public static ClockReading of(Ticker ticker) {
		return new ClockReading(ticker.millis(), ticker.wallMillis());
	}

}
