package org.wigeonglade.core.time;

/**
 * Ticker that reads the system clocks.
 */
enum SystemTicker implements Ticker {

	/** The only instance. */
	INSTANCE;

	@Override
	public long nanos() {
		return System.nanoTime();
	}

	@Override
	public long wallMillis() {
		return System.currentTimeMillis();
	}

}
