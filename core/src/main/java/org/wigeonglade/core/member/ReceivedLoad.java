package org.wigeonglade.core.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Load reported by one host: the last value of each entry, because a digest carries only
 * some of them. Not thread-safe.
 */
public final class ReceivedLoad {

	private final HostId host;

	private final FailureDomain domain;

	private final long incarnation;

	private final Map<UpstreamId, UpstreamView> upstreams = new HashMap<>();

	private final Map<ServiceName, ServiceView> services = new HashMap<>();

	private List<PartitionView> partitions = List.of();

	private long receivedMillis;

	/**
	 * Creates an empty state.
	 * @param host the reporting host, not null
	 * @param domain its failure domain, not null
	 * @param incarnation its incarnation
	 */
	public ReceivedLoad(HostId host, FailureDomain domain, long incarnation) {
		this.host = host;
		this.domain = domain;
		this.incarnation = incarnation;
	}

	/**
	 * Returns the incarnation of the host that reported the state.
	 * @return the incarnation given to the constructor
	 */
	public long getIncarnation() {
		return this.incarnation;
	}

	/**
	 * Applies a digest. Its partitions replace the previous ones; an upstream without
	 * load is removed.
	 * @param digest the digest; its names must be valid
	 * @param nowMillis the local monotonic time
	 */
	public void apply(Digest digest, long nowMillis) {
		digest.getUpstreamsList().stream().filter((v) -> !v.getLeaving()).forEach((v) -> {
			if (v.getInFlightOnline() == 0 && v.getInFlightBatch() == 0 && !v.getOpenBreaker()) {
				this.upstreams.remove(UpstreamId.of(v.getUpstream()));
			}
			else {
				this.upstreams.put(UpstreamId.of(v.getUpstream()), v);
			}
		});
		digest.getServicesList().forEach((v) -> this.services.put(ServiceName.of(v.getService()), v));
		this.partitions = digest.getPartitionsList();
		this.receivedMillis = nowMillis;
	}

	HostId getHost() {
		return this.host;
	}

	FailureDomain getDomain() {
		return this.domain;
	}

	Map<UpstreamId, UpstreamView> getUpstreams() {
		return this.upstreams;
	}

	Map<ServiceName, ServiceView> getServices() {
		return this.services;
	}

	List<PartitionView> getPartitions() {
		return this.partitions;
	}

	long getReceivedMillis() {
		return this.receivedMillis;
	}

}
