package org.wigeonglade.core.member;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;

/**
 * Holds what is known of an entry host.
 *
 * @param id the name
 * @param incarnation grows with each start
 * @param domain the failure domain
 * @param region the region
 * @param peerAddress {@code ip:port} of its peer listener
 * @param stopping whether a planned stop has begun
 * @param configVersion the configuration version that it confirmed
 * @param lastSeenMillis local monotonic time of the last sign of life, in milliseconds
 */
public record HostMember(HostId id, long incarnation, FailureDomain domain, Region region, String peerAddress,
		boolean stopping, long configVersion, long lastSeenMillis) {
}
