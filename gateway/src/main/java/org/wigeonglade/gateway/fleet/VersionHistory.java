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

	private final Map<RunnerLifetime, Sighting> processes = new HashMap<>();

	private final Map<RunnerLifetime, Sighting> unregistered = new HashMap<>();

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
		this.processes.values().removeIf((seen) -> nowMillis - seen.seenMillis > RETENTION_MILLIS);
		this.unregistered.values().removeIf((seen) -> nowMillis - seen.seenMillis > RETENTION_MILLIS);
	}

	/**
	 * Records a registration, or a process that has not been registered yet. Each one has
	 * to be recorded, since a runner may come and go between two observations.
	 * @param entry the registration, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void record(RunnerEntry entry, long nowMillis) {
		Sighting seen = new Sighting(entry.service(), entry.version(), nowMillis);
		if (!entry.version().isKnown()) {
			this.unregistered.put(entry.getLifetime(), seen);
			return;
		}
		this.processes.put(entry.getLifetime(), seen);
		this.unregistered.remove(entry.getLifetime());
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
	 * Returns the version of a process of a runner.
	 * @param process the process, not null
	 * @return the version, empty if no registration of the process was seen
	 */
	public Optional<SoftwareVersion> findVersion(RunnerLifetime process) {
		return Optional.ofNullable(this.processes.get(process)).map(Sighting::version);
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
		boolean otherSeen = this.unregistered.values()
			.stream()
			.anyMatch((seen) -> seen.service.equals(service) && seen.seenMillis >= since);
		if (otherSeen || this.observedSinceMillis > since) {
			return Optional.empty();
		}
		Map<SoftwareVersion, Long> recent = new HashMap<>(this.lastSeen.getOrDefault(service, Map.of()));
		recent.values().removeIf((seen) -> seen < since);
		return (recent.size() == 1) ? recent.keySet().stream().findFirst() : Optional.empty();
	}

	/**
	 * A process of a runner.
	 *
	 * @param service the service, not null
	 * @param version the version, unknown before its registration is seen
	 * @param seenMillis the monotonic time in milliseconds when it was last seen
	 */
	private record Sighting(ServiceName service, SoftwareVersion version, long seenMillis) {

	}

}
