package org.wigeonglade.peer;

import java.util.Objects;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.schema.generated.peer.Hello;
import org.wigeonglade.schema.generated.peer.LinkPurpose;

/**
 * Tells other hosts who this host is.
 *
 * @param host the name
 * @param incarnation grows with each start
 * @param domain the failure domain
 * @param region the region
 */
public record PeerIdentity(HostId host, long incarnation, FailureDomain domain, Region region) {

	/**
	 * The version of the peer protocol that this build speaks. Versions only add fields
	 * and kinds of frames, so that every version can talk to every other.
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
