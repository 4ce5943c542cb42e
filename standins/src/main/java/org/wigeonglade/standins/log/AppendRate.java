package org.wigeonglade.standins.log;

import org.wigeonglade.core.time.Ticker;

/**
 * Rate limiter of appends: a token bucket with the capacity of one second. Thread-safe.
 */
final class AppendRate {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Ticker ticker;

	private final int perSecond;

	private double tokens;

	private long lastNanos;

	AppendRate(Ticker ticker, int perSecond) {
		this.ticker = ticker;
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.lastNanos = ticker.nanos();
	}

	synchronized boolean tryAcquire() {
		if (this.perSecond <= 0) {
			return true;
		}
		long now = this.ticker.nanos();
		this.tokens = Math.min(this.perSecond,
				this.tokens + (now - this.lastNanos) / NANOS_PER_SECOND * this.perSecond);
		this.lastNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
