package org.wigeonglade.bench.faults;

import org.wigeonglade.core.time.Ticker;

/**
 * Clock of a host whose wall clock is wrong and whose monotonic clock runs at another
 * rate.
 */
final class SkewedTicker implements Ticker {

	private final long originNanos = System.nanoTime();

	private final long wallOffsetMillis;

	private final double rate;

	SkewedTicker(long wallOffsetMillis, double rate) {
		this.wallOffsetMillis = wallOffsetMillis;
		this.rate = rate;
	}

	@Override
	public long nanos() {
		return this.originNanos + (long) ((System.nanoTime() - this.originNanos) * this.rate);
	}

	@Override
	public long wallMillis() {
		return System.currentTimeMillis() + this.wallOffsetMillis;
	}

}
