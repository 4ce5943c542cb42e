package org.wigeonglade.gateway.online;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wigeonglade.gateway.fleet.RunnerId;

/**
 * Counts the runners that were lost while a request with the same path and body was in
 * progress on them. Answers the pattern of a request that crashes every runner it reaches
 * and is sent again by its caller at any host. Not thread-safe.
 */
public final class CrashLedger {

	/** Lost runners after which a request is not run again. */
	static final int MAX_LOST_RUNNERS = 3;

	/**
	 * Time in milliseconds for which a loss counts: several times a caller's deadline.
	 */
	static final long MEMORY_MILLIS = 60_000;

	private final Map<Long, Entry> entries = new HashMap<>();

	/**
	 * Records a loss. The same loss, told by another host, counts once.
	 * @param fingerprint the request
	 * @param runner the runner, not null
	 * @param startedMillis the start of the runner's process
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the loss is new
	 */
	public boolean add(long fingerprint, RunnerId runner, long startedMillis, long nowMillis) {
		Entry entry = this.entries.computeIfAbsent(fingerprint, (f) -> new Entry());
		entry.lastMillis = nowMillis;
		return entry.lost.add(runner + "@" + startedMillis);
	}

	/**
	 * Returns whether a request must not run again.
	 * @param fingerprint the request
	 * @return true after too many losses
	 */
	public boolean isQuarantined(long fingerprint) {
		Entry entry = this.entries.get(fingerprint);
		return entry != null && entry.lost.size() >= MAX_LOST_RUNNERS;
	}

	/**
	 * Returns the number of runners lost.
	 * @param fingerprint the request
	 * @return the number
	 */
	public int getLostRunners(long fingerprint) {
		Entry entry = this.entries.get(fingerprint);
		return (entry != null) ? entry.lost.size() : 0;
	}

	/**
	 * Drops losses that no longer count.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void expire(long nowMillis) {
		this.entries.values().removeIf((e) -> nowMillis - e.lastMillis > MEMORY_MILLIS);
	}

	private static final class Entry {

		private final Set<String> lost = new HashSet<>();

		private long lastMillis;

	}

}
