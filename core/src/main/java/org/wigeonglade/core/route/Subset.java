package org.wigeonglade.core.route;

import java.util.List;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.core.member.UpstreamMember;

/**
 * Deterministic subsetting: the upstreams that one host connects to, so that the number
 * of connections stays bounded in a large fleet.
 */
public final class Subset {

	/** Upstreams of one service and failure domain that a host uses at most. */
	public static final int DEFAULT_SIZE = 24;

	private Subset() {
	}

	/**
	 * Returns the subset of a host. It depends only on the names. The loss of an upstream
	 * replaces that one and no other.
	 * @param host the host, not null
	 * @param upstreams the upstreams of one service and failure domain, not null
	 * @param size the size of the subset, at least 1
	 * @return at most {@code size} upstreams
	 */
	public static List<UpstreamMember> of(HostId host, List<UpstreamMember> upstreams, int size) {
		if (upstreams.size() <= size) {
			return upstreams;
		}
		return Rendezvous.subset(host.value(), upstreams, (u) -> u.id().value(), size);
	}

}
