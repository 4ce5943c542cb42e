package org.wigeonglade.gateway.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wigeonglade.core.id.ServiceName;

/**
 * The software versions that runners of each service have had while this host could read
 * their registrations. Not thread-safe.
 */
public final class VersionHistory {

	/** Time in milliseconds for which a version without runners is kept. */
	private static final long RETENTION_MILLIS = 300_000;

	private final Map<Sighting, Long> lastSeen = new HashMap<>();

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
		this.lastSeen.values().removeIf((seenMillis) -> nowMillis - seenMillis > RETENTION_MILLIS);
	}

	/**
	 * Records a registration, or a process that has not been registered yet. Each one has
	 * to be recorded, since a runner may come and go between two observations.
	 * @param entry the registration, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void record(RunnerEntry entry, long nowMillis) {
		this.lastSeen.put(new Sighting(entry.getLifetime(), entry.service(), entry.version()), nowMillis);
		if (entry.version().isKnown()) {
			this.lastSeen.remove(new Sighting(entry.getLifetime(), entry.service(), SoftwareVersion.UNKNOWN));
		}
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
		return this.lastSeen.entrySet()
			.stream()
			.filter((seen) -> seen.getKey().process.equals(process) && seen.getKey().version.isKnown())
			.max(Map.Entry.comparingByValue())
			.map((seen) -> seen.getKey().version);
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
		Set<SoftwareVersion> recent = new HashSet<>();
		this.lastSeen.forEach((seen, seenMillis) -> {
			if (seen.service.equals(service) && seenMillis >= since) {
				recent.add(seen.version);
			}
		});
		return (recent.size() == 1) ? recent.stream().filter(SoftwareVersion::isKnown).findFirst() : Optional.empty();
	}

	/**
	 * What was seen of a process of a runner.
	 *
	 * @param process the process, not null
	 * @param service its service, not null
	 * @param version its version, unknown before its registration is seen
	 */
	private record Sighting(RunnerLifetime process, ServiceName service, SoftwareVersion version) {

	}

}
