package org.wigeonglade.core.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Ticker that advances only by {@link #advance}, for deterministic tests and simulations.
 * Thread-safe.
 */
public final class ManualTicker implements Ticker {

	private final AtomicLong nanos = new AtomicLong();

	private final long wallOriginMillis;

	private ManualTicker(long wallOriginMillis) {
		this.wallOriginMillis = wallOriginMillis;
	}

	/**
	 * Returns a ticker that starts at a wall-clock time.
	 * @param wallOriginMillis milliseconds since the epoch
	 * @return a ticker, never null
	 */
	public static ManualTicker startingAt(long wallOriginMillis) {
		return new ManualTicker(wallOriginMillis);
	}

	/**
	 * Advances the monotonic and the wall clock.
	 * @param step the step, not null, not negative
	 */
	public void advance(Duration step) {
		this.nanos.addAndGet(step.toNanos());
	}

	@Override
	public long nanos() {
		return this.nanos.get();
	}

	@Override
	public long wallMillis() {
		return this.wallOriginMillis + millis();
	}

}
