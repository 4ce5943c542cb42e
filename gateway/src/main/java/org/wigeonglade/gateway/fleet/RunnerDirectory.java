package org.wigeonglade.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which registered runners may receive work. Answers the outage pattern in which
 * registrations expire while the platform's store is away: entries that disappear around
 * an outage stay usable for {@link #RETURN_GRACE_MILLIS} after the store is back, because
 * living runners register again within that time. Not thread-safe.
 */
public final class RunnerDirectory {

	/**
	 * Time in milliseconds in which living runners are registered again after an outage
	 * of the store: two seconds by the platform's promise and a half for the delay of
	 * reading.
	 */
	public static final long RETURN_GRACE_MILLIS = 2_500;

	private final Map<RunnerId, RunnerEntry> entries = new HashMap<>();

	private final Map<RunnerId, Long> expiring = new HashMap<>();

	private long graceUntilMillis = Long.MIN_VALUE;

	private boolean reachable;

	/**
	 * Adds or replaces an entry.
	 * @param entry the entry, not null
	 * @return true if what is known of the runner changed
	 */
	public boolean put(RunnerEntry entry) {
		this.expiring.remove(entry.id());
		return !entry.equals(this.entries.put(entry.id(), entry));
	}

	/**
	 * Removes an entry, or marks it for removal while the store has just returned.
	 * @param id the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the runner is gone at once
	 */
	public boolean remove(RunnerId id, long nowMillis) {
		RunnerEntry entry = this.entries.get(id);
		if (entry == null) {
			return false;
		}
		if (nowMillis < this.graceUntilMillis && !entry.draining()) {
			this.expiring.putIfAbsent(id, this.graceUntilMillis);
			return false;
		}
		this.expiring.remove(id);
		return this.entries.remove(id) != null;
	}

	/**
	 * Records that the store cannot be reached.
	 */
	public void storeLost() {
		this.reachable = false;
	}

	/**
	 * Records that the store answered. After an outage this starts the grace period.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void storeAnswered(long nowMillis) {
		if (!this.reachable) {
			this.reachable = true;
			this.graceUntilMillis = nowMillis + RETURN_GRACE_MILLIS;
		}
	}

	/**
	 * Removes the entries whose grace period is over.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if an entry was removed
	 */
	public boolean expire(long nowMillis) {
		boolean removed = false;
		for (Iterator<Map.Entry<RunnerId, Long>> i = this.expiring.entrySet().iterator(); i.hasNext();) {
			Map.Entry<RunnerId, Long> next = i.next();
			if (this.reachable && next.getValue() <= nowMillis) {
				this.entries.remove(next.getKey());
				i.remove();
				removed = true;
			}
		}
		return removed;
	}

	/**
	 * Returns a runner.
	 * @param id the runner, not null
	 * @return the entry, empty if it is not registered
	 */
	public Optional<RunnerEntry> find(RunnerId id) {
		return Optional.ofNullable(this.entries.get(id));
	}

	/**
	 * Returns all entries, also those of draining runners.
	 * @return a live view that must not be changed
	 */
	public Collection<RunnerEntry> getEntries() {
		return this.entries.values();
	}

}
