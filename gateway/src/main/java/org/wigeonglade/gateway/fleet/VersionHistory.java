package org.wigeonglade.gateway.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.id.ServiceName;

/**
 * The software versions that runners of each service have had while this host could read
 * their registrations. Not thread-safe.
 */
public final class VersionHistory {

	/** Time in milliseconds for which a version without runners is kept. */
	private static final long RETENTION_MILLIS = 300_000;

	private final Map<ServiceName, Map<SoftwareVersion, Long>> lastSeen = new HashMap<>();

	private long observedSinceMillis = Long.MAX_VALUE;

	/**
	 * Records the present registrations.
	 * @param entries the registrations, not null
	 * @param current whether the store can be read; the history begins anew after a time
	 * in which it could not
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void observe(Collection<RunnerEntry> entries, boolean current, long nowMillis) {
		if (!current) {
			this.observedSinceMillis = Long.MAX_VALUE;
			return;
		}
		this.observedSinceMillis = Math.min(this.observedSinceMillis, nowMillis);
		entries.forEach((entry) -> record(entry, nowMillis));
		this.lastSeen.values().forEach((seen) -> seen.values().removeIf((t) -> nowMillis - t > RETENTION_MILLIS));
	}

	/**
	 * Records a registration. Each one has to be recorded, since a runner may come and go
	 * between two observations.
	 * @param entry the registration, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void record(RunnerEntry entry, long nowMillis) {
		this.lastSeen.computeIfAbsent(entry.service(), (s) -> new HashMap<>()).put(entry.version(), nowMillis);
	}

	/**
	 * Begins the history anew, after registrations may have been missed.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void restart(long nowMillis) {
		this.observedSinceMillis = nowMillis;
	}

	/**
	 * Returns the version of a service if it was the only one for a time.
	 * @param service the service, not null
	 * @param period the time until now, not null and at most five minutes
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the version, empty if there was another one or the history is shorter
	 */
	public Optional<SoftwareVersion> findOnlyVersion(ServiceName service, Duration period, long nowMillis) {
		long since = nowMillis - period.toMillis();
		if (this.observedSinceMillis > since) {
			return Optional.empty();
		}
		Map<SoftwareVersion, Long> recent = new HashMap<>(this.lastSeen.getOrDefault(service, Map.of()));
		recent.values().removeIf((seen) -> seen < since);
		return (recent.size() == 1) ? recent.keySet().stream().findFirst() : Optional.empty();
	}

}
