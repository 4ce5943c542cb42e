package org.wigeonglade.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The runners that have announced in a response that they are shutting down. The
 * registration of such a runner may still be without the draining flag, because the store
 * is unavailable or the runner never updates its registration. A later start under the
 * same id counts as a different runner. Not thread-safe.
 */
public final class LeavingRunners {

	/**
	 * Time in milliseconds for which an entry is kept after the last report of it: far
	 * longer than a leaving runner keeps running.
	 */
	static final long RETENTION_MILLIS = 300_000;

	private final Map<RunnerId, Departure> departures = new HashMap<>();

	/**
	 * Records that a runner process is leaving. A report of an earlier start than the
	 * recorded one is ignored.
	 * @param runner the runner, not null
	 * @param startedMillis the start of the process, in milliseconds since the epoch
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if this start of the runner was not recorded before
	 */
	public boolean add(RunnerId runner, long startedMillis, long nowMillis) {
		Departure previous = this.departures.get(runner);
		if (previous != null && previous.startedMillis > startedMillis) {
			return false;
		}
		this.departures.put(runner, new Departure(runner, startedMillis, nowMillis));
		return previous == null || previous.startedMillis < startedMillis;
	}

	/**
	 * Returns whether a registered runner process is leaving.
	 * @param entry its registration, not null
	 * @return true if this start of the runner, or a later one, is recorded as leaving
	 */
	public boolean contains(RunnerEntry entry) {
		Departure departure = this.departures.get(entry.id());
		return departure != null && entry.startedMillis() <= departure.startedMillis;
	}

	/**
	 * Returns the recorded runners.
	 * @return an immutable copy, never null
	 */
	public Collection<Departure> getDepartures() {
		return List.copyOf(this.departures.values());
	}

	/**
	 * Removes the entries that have not been reported for the retention time.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void expire(long nowMillis) {
		this.departures.values().removeIf((departure) -> nowMillis - departure.seenMillis > RETENTION_MILLIS);
	}

	/**
	 * A runner process that is leaving.
	 *
	 * @param runner the runner, not null
	 * @param startedMillis the start of the process, in milliseconds since the epoch
	 * @param seenMillis the monotonic time of the last report of it, in milliseconds
	 */
	public record Departure(RunnerId runner, long startedMillis, long seenMillis) {

	}

}
