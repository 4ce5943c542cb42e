package org.wigeonglade.gateway.online;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wigeonglade.gateway.fleet.RunnerId;

/**
 * Counts, by fingerprint of URI and body, the runners that crashed while the request was
 * in progress on them, and quarantines a request that has crashed too many. Handles a
 * request that crashes every runner it reaches and that its caller retries on any host.
 * Not thread-safe.
 */
public final class CrashTracker {

	/** Number of crashed runners after which a request is no longer run. */
	static final int QUARANTINE_THRESHOLD = 3;

	/**
	 * Time in milliseconds after the last crash for which a request is remembered:
	 * several times a caller's deadline.
	 */
	static final long RETENTION_MILLIS = 60_000;

	private final Map<Long, Entry> entries = new HashMap<>();

	/**
	 * Records a crash. A crash that several hosts report counts once.
	 * @param fingerprint the fingerprint of the request
	 * @param runner the runner, not null
	 * @param startedMillis the start time of the runner's process, in milliseconds since
	 * the epoch
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the crash was not recorded before
	 */
	public boolean add(long fingerprint, RunnerId runner, long startedMillis, long nowMillis) {
		Entry entry = this.entries.computeIfAbsent(fingerprint, (f) -> new Entry());
		entry.lastMillis = nowMillis;
		return entry.crashedRunners.add(runner + "@" + startedMillis);
	}

	/**
	 * Returns whether a request must not be run again.
	 * @param fingerprint the fingerprint of the request
	 * @return true if the number of crashes has reached the threshold
	 */
	public boolean isQuarantined(long fingerprint) {
		Entry entry = this.entries.get(fingerprint);
		return entry != null && entry.crashedRunners.size() >= QUARANTINE_THRESHOLD;
	}

	/**
	 * Returns the number of runners that crashed while the request was in progress.
	 * @param fingerprint the fingerprint of the request
	 * @return the number, 0 if no crash is recorded
	 */
	public int getCrashCount(long fingerprint) {
		Entry entry = this.entries.get(fingerprint);
		return (entry != null) ? entry.crashedRunners.size() : 0;
	}

	/**
	 * Drops requests whose last crash is older than the retention time.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void expire(long nowMillis) {
		this.entries.values().removeIf((e) -> nowMillis - e.lastMillis > RETENTION_MILLIS);
	}

	private static final class Entry {

		private final Set<String> crashedRunners = new HashSet<>();

		private long lastMillis;

	}

}
