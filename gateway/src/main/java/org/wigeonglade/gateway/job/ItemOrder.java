package org.wigeonglade.gateway.job;

import java.util.Comparator;

/**
 * Orders items that wait for a slot, and items that may give one back. Answers the
 * pattern in which more work has been accepted than fits: the earliest due time alone
 * would run items that are late already while others become late, until all are. Items
 * that can still be done in time come first, by their due time; late ones follow in the
 * order of their submission, so that none waits for ever. Pure.
 */
final class ItemOrder {

	/** Weight of the newest completed item in the mean run time. */
	private static final double WEIGHT = 0.1;

	/** Assumed run time until an item has been completed, in milliseconds. */
	private static final double INITIAL_MILLIS = 4_000;

	/** Assumed events of an item until one has been completed. */
	private static final double INITIAL_EVENTS = 200;

	private double meanEvents = INITIAL_EVENTS;

	private double millisPerEvent = INITIAL_MILLIS / INITIAL_EVENTS;

	/**
	 * Learns from a completed item.
	 * @param events its events, at least 1
	 * @param runMillis the time that its runs took together
	 */
	void learn(int events, long runMillis) {
		this.meanEvents += WEIGHT * (events - this.meanEvents);
		this.millisPerEvent += WEIGHT * ((double) runMillis / events - this.millisPerEvent);
	}

	/**
	 * Returns the expected time until an item is done if it runs from now on.
	 * @param events the events that it has already
	 * @return the time in milliseconds
	 */
	long remainingMillis(int events) {
		return Math.round(Math.max(1, this.meanEvents - events) * this.millisPerEvent);
	}

	/**
	 * Returns whether an item can still be done in time.
	 * @param dueMillis when it is due
	 * @param nowMillis the present time on the same clock
	 * @param events the events that it has already
	 * @return true if its remaining time fits
	 */
	boolean isFeasible(long dueMillis, long nowMillis, int events) {
		return nowMillis + remainingMillis(events) <= dueMillis;
	}

	/**
	 * Returns the order in which items start.
	 * @param nowMillis the present time
	 * @return the order, first the item to be started first
	 */
	Comparator<Entry> startOrder(long nowMillis) {
		return Comparator.comparing((Entry e) -> !isFeasible(e.dueMillis(), nowMillis, e.events()))
			.thenComparingLong(Entry::dueMillis)
			.thenComparing(Comparator.comparingInt(Entry::events).reversed());
	}

	/**
	 * What the order depends on.
	 *
	 * @param dueMillis when the item is due
	 * @param events the events that it has already
	 */
	record Entry(long dueMillis, int events) {

	}

}
