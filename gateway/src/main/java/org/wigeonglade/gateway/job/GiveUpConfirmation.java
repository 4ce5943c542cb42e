package org.wigeonglade.gateway.job;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Confirms the limits at which items are given up. A result is final, but the routes that
 * set the limits come by another stream than the jobs, so that this host may know a job
 * before its route. A limit counts only on a configuration that was read after it had
 * been found reached. Not thread-safe.
 */
final class GiveUpConfirmation {

	private final Map<ItemKey, Long> reachedMillis = new HashMap<>();

	/**
	 * Records that an item has reached a limit.
	 * @param item the item, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if that was not recorded before
	 */
	boolean record(ItemKey item, long nowMillis) {
		return this.reachedMillis.putIfAbsent(item, nowMillis) == null;
	}

	/**
	 * Returns whether the limit of an item is confirmed.
	 * @param item the item, not null
	 * @param configurationAsOfMillis the monotonic time at which the last complete read
	 * of the configuration was started, in milliseconds
	 * @return true if the configuration was read after the limit had been recorded
	 */
	boolean isConfirmed(ItemKey item, long configurationAsOfMillis) {
		Long reached = this.reachedMillis.get(item);
		return reached != null && configurationAsOfMillis >= reached;
	}

	/**
	 * Forgets an item that has not reached a limit on the present configuration.
	 * @param item the item, not null
	 */
	void clear(ItemKey item) {
		this.reachedMillis.remove(item);
	}

	/**
	 * Forgets the items that no longer need to run.
	 * @param closed tests whether an item has a result, not null
	 */
	void removeIf(Predicate<ItemKey> closed) {
		this.reachedMillis.keySet().removeIf(closed);
	}

}
