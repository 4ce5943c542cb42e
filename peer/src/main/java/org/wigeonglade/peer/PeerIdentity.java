package org.wigeonglade.peer;

import java.util.Objects;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.schema.generated.peer.Hello;
import org.wigeonglade.schema.generated.peer.LinkPurpose;

/**
 * Identity that a host presents to its peers.
 *
 * @param host the name of the host, not null
 * @param incarnation a number that increases with each start
 * @param domain the failure domain, not null
 * @param region the region, not null
 */
public record PeerIdentity(HostId host, long incarnation, FailureDomain domain, Region region) {

	/**
	 * Version of the peer protocol in this build. A version may only add fields and kinds
	 * of frames, so that all versions are compatible with each other.
	 */
	public static final int PROTOCOL_VERSION = 1;

	/**
	 * Creates the identity.
	 */
	public PeerIdentity {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(domain, "domain");
		Objects.requireNonNull(region, "region");
	}

	Hello toHello(LinkPurpose purpose) {
		return Hello.newBuilder()
			.setHost(this.host.value())
			.setIncarnation(this.incarnation)
			.setFailureDomain(this.domain.value())
			.setRegion(this.region.value())
			.setProtocolVersion(PROTOCOL_VERSION)
			.setPurpose(purpose)
			.build();
	}

}
