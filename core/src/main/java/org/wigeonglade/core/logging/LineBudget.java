package org.wigeonglade.core.logging;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.time.Ticker;

/**
 * Bounds the log lines of each event per second and counts those left out. Thread-safe.
 */
final class LineBudget {

	/**
	 * Lines of one event in a second. A host serves about ten requests a second, so that
	 * only a storm passes it.
	 */
	static final int LINES_PER_SECOND = 60;

	private static final long WINDOW_MILLIS = 1_000;

	private final Ticker ticker;

	private final Map<Integer, Integer> taken = new HashMap<>();

	private final Map<Integer, Integer> dropped = new HashMap<>();

	private long windowMillis;

	private Map<Integer, Integer> report = Map.of();

	LineBudget(Ticker ticker) {
		this.ticker = ticker;
		this.windowMillis = ticker.millis();
	}

	synchronized boolean tryTake(int number) {
		long now = this.ticker.millis();
		if (now - this.windowMillis >= WINDOW_MILLIS) {
			closeWindow(now);
		}
		if (this.taken.merge(number, 1, Integer::sum) <= LINES_PER_SECOND) {
			return true;
		}
		countDropped(number);
		return false;
	}

	synchronized void countDropped(int number) {
		this.dropped.merge(number, 1, Integer::sum);
	}

	/**
	 * Returns what was left out in the last complete window, once.
	 * @return the number of lines by event number, empty if nothing was left out
	 */
	synchronized Map<Integer, Integer> takeReport() {
		Map<Integer, Integer> taken = this.report;
		this.report = Map.of();
		return taken;
	}

	private void closeWindow(long now) {
		this.windowMillis = now;
		this.taken.clear();
		if (!this.dropped.isEmpty()) {
			this.report = Map.copyOf(this.dropped);
			this.dropped.clear();
		}
	}

}
