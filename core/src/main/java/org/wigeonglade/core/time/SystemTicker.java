package org.wigeonglade.core.time;

/**
 * Reads the clocks of the machine.
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
