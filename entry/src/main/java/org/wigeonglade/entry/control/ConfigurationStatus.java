package org.wigeonglade.entry.control;

import java.util.List;

import org.wigeonglade.core.id.HostId;

/**
 * Tells where a configuration is in force.
 *
 * @param version the version in force on this host
 * @param highestSeen the highest version that this host knows to be accepted
 * @param ready whether this host knows the configuration
 * @param problem why this host cannot use the highest version, empty if it can
 * @param confirmed the hosts that confirmed the version, this one included
 * @param behind the hosts that can be reached but have not confirmed it yet
 * @param unreachable the hosts that are silent
 */
public record ConfigurationStatus(long version, long highestSeen, boolean ready, String problem, List<HostId> confirmed,
		List<HostId> behind, List<HostId> unreachable) {
}
