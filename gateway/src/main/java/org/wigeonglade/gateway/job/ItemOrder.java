package org.wigeonglade.gateway.job;

import java.util.Comparator;

/**
 * Scheduling order of items, used to start waiting items and, reversed, to choose items
 * to preempt. It is earliest deadline first with a feasibility check. Plain earliest
 * deadline first degrades under overload: it runs items that are already late while
 * others become late, until all of them are. Therefore, items that can still meet their
 * due time come first, by due time; late items follow, also by due time, so that none
 * starves. On equal due times, the item with more output comes first. Keeps moving
 * averages of run time and events as its only state and reads no clock. Not thread-safe.
 */
final class ItemOrder {

	/** Weight of the most recently completed item in the moving averages. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** Run time in milliseconds assumed until an item has been completed. */
	private static final double INITIAL_RUN_MILLIS = 4_000;

	/** Number of events per item assumed until an item has been completed. */
	private static final double INITIAL_EVENTS = 200;

	private double meanEvents = INITIAL_EVENTS;

	private double millisPerEvent = INITIAL_RUN_MILLIS / INITIAL_EVENTS;

	/**
	 * Updates the moving averages with a completed item.
	 * @param events the number of events of its output, at least 1
	 * @param runMillis the total time of its runs in milliseconds
	 */
	void recordCompletion(int events, long runMillis) {
		this.meanEvents += SMOOTHING_FACTOR * (events - this.meanEvents);
		this.millisPerEvent += SMOOTHING_FACTOR * ((double) runMillis / events - this.millisPerEvent);
	}

	/**
	 * Estimates the run time that an item still needs to complete.
	 * @param events the number of events received so far
	 * @return the estimated time in milliseconds
	 */
	long remainingMillis(int events) {
		return Math.round(Math.max(1, this.meanEvents - events) * this.millisPerEvent);
	}

	/**
	 * Returns whether an item can still meet its due time.
	 * @param dueMillis the due time in milliseconds
	 * @param nowMillis the current time in milliseconds on the same clock
	 * @param events the number of events received so far
	 * @return true if the estimated remaining run time ends by the due time
	 */
	boolean isFeasible(long dueMillis, long nowMillis, int events) {
		return nowMillis + remainingMillis(events) <= dueMillis;
	}

	/**
	 * Returns the order in which items are started.
	 * @param nowMillis the current time in milliseconds on the clock of the due times
	 * @return a comparator that sorts the item to be started first to the front
	 */
	Comparator<Entry> startOrder(long nowMillis) {
		return Comparator.comparing((Entry e) -> !isFeasible(e.dueMillis(), nowMillis, e.events()))
			.thenComparingLong(Entry::dueMillis)
			.thenComparing(Comparator.comparingInt(Entry::events).reversed());
	}

	/**
	 * Sort key of an item.
	 *
	 * @param dueMillis the due time of the item in milliseconds
	 * @param events the number of events received so far
	 */
	record Entry(long dueMillis, int events) {

	}

}
