package org.wigeonglade.entry.control;

import java.util.List;

import org.wigeonglade.core.id.HostId;

/**
 * Rollout status of the configuration as seen by one host.
 *
 * @param version the version in force on this host
 * @param highestSeen the highest accepted version that this host has received
 * @param ready whether this host has determined the current configuration since its start
 * @param problem the reason why this host cannot apply the highest version, empty if it
 * can
 * @param confirmed the hosts that have applied the version or a higher one, including
 * this host
 * @param behind the live hosts that have not applied it yet
 * @param unreachable the hosts whose heartbeats are missing
 */
public record ConfigurationStatus(long version, long highestSeen, boolean ready, String problem, List<HostId> confirmed,
		List<HostId> behind, List<HostId> unreachable) {
}
