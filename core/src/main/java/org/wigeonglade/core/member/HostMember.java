package org.wigeonglade.core.member;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;

/**
 * Entry host in the membership view.
 *
 * @param id the name
 * @param incarnation the incarnation, which grows with each start
 * @param domain the failure domain
 * @param region the region
 * @param peerAddress {@code ip:port} of its peer listener
 * @param stopping whether a planned stop has begun
 * @param configVersion the configuration version that it has acknowledged
 * @param lastSeenMillis the local monotonic time of its last new heartbeat or
 * incarnation, in milliseconds
 */
public record HostMember(HostId id, long incarnation, FailureDomain domain, Region region, String peerAddress,
		boolean stopping, long configVersion, long lastSeenMillis) {
}
