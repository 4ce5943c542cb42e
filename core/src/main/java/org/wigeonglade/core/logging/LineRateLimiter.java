package org.wigeonglade.core.logging;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.time.Ticker;

/**
 * Limits the log lines per second of each event and counts dropped lines. Thread-safe.
 */
final class LineRateLimiter {

	/**
	 * Limit for each event. A host serves about ten requests per second, so that only a
	 * burst of one event exceeds it.
	 */
	static final int LINES_PER_SECOND = 60;

	private static final long WINDOW_MILLIS = 1_000;

	private final Ticker ticker;

	private final Map<Integer, Integer> linesInWindow = new HashMap<>();

	private final Map<Integer, Integer> droppedInWindow = new HashMap<>();

	private long windowStartMillis;

	private Map<Integer, Integer> droppedCounts = Map.of();

	LineRateLimiter(Ticker ticker) {
		this.ticker = ticker;
		this.windowStartMillis = ticker.millis();
	}

	synchronized boolean tryAcquire(int number) {
		long now = this.ticker.millis();
		if (now - this.windowStartMillis >= WINDOW_MILLIS) {
			startWindow(now);
		}
		if (this.linesInWindow.merge(number, 1, Integer::sum) <= LINES_PER_SECOND) {
			return true;
		}
		countDropped(number);
		return false;
	}

	synchronized void countDropped(int number) {
		this.droppedInWindow.merge(number, 1, Integer::sum);
	}

	/**
	 * Returns and clears the dropped lines of the last window.
	 * @return the number of dropped lines by event number, empty if there are none
	 */
	synchronized Map<Integer, Integer> takeDroppedCounts() {
		Map<Integer, Integer> counts = this.droppedCounts;
		this.droppedCounts = Map.of();
		return counts;
	}

	private void startWindow(long now) {
		this.windowStartMillis = now;
		this.linesInWindow.clear();
		if (!this.droppedInWindow.isEmpty()) {
			this.droppedCounts = Map.copyOf(this.droppedInWindow);
			this.droppedInWindow.clear();
		}
	}

}
