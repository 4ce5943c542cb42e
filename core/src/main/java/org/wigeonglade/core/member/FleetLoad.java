package org.wigeonglade.core.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Immutable snapshot of the load that other hosts told in their last digests. Digests of
 * lost hosts are left out by the caller.
 */
public final class FleetLoad {

	/** A snapshot without load. */
	public static final FleetLoad EMPTY = new FleetLoad(Map.of(), Map.of(), Map.of());

	private final Map<UpstreamId, UpstreamLoad> upstreams;

	private final Map<FailureDomain, Map<ServiceName, ServiceDemand>> services;

	private final Map<Integer, PartitionOwner> partitions;

	private FleetLoad(Map<UpstreamId, UpstreamLoad> upstreams,
			Map<FailureDomain, Map<ServiceName, ServiceDemand>> services, Map<Integer, PartitionOwner> partitions) {
		this.upstreams = upstreams;
		this.services = services;
		this.partitions = partitions;
	}

	/**
	 * Sums up digests.
	 * @param digests the last digest of each other live host, not null
	 * @return the snapshot
	 */
	public static FleetLoad of(Collection<ReceivedDigest> digests) {
		Map<UpstreamId, UpstreamLoad> upstreams = new HashMap<>();
		Map<FailureDomain, Map<ServiceName, ServiceDemand>> services = new HashMap<>();
		Map<Integer, PartitionOwner> partitions = new HashMap<>();
		for (ReceivedDigest received : digests) {
			Digest digest = received.digest();
			for (UpstreamView view : digest.getUpstreamsList()) {
				upstreams.merge(UpstreamId.of(view.getUpstream()), UpstreamLoad.NONE.plus(view.getInFlightOnline(),
						view.getInFlightBatch(), view.getLimit(), view.getOpenBreaker()), FleetLoad::add);
			}
			FailureDomain domain = FailureDomain.of(digest.getSelf().getFailureDomain());
			for (ServiceView view : digest.getServicesList()) {
				services.computeIfAbsent(domain, (d) -> new HashMap<>())
					.compute(ServiceName.of(view.getService()), (s, old) -> ((old != null) ? old : ServiceDemand.NONE)
						.plus(view.getOnlineArrivalsPerS(), view.getSpareSlots(), view.getPendingBatchItems()));
			}
			for (PartitionView view : digest.getPartitionsList()) {
				partitions.merge(view.getPartition(),
						new PartitionOwner(HostId.of(digest.getSelf().getHost()), view.getTerm(),
								view.getPendingItems(), view.getHeadOffset(), received.receivedMillis()),
						(a, b) -> (a.term() >= b.term()) ? a : b);
			}
		}
		return new FleetLoad(upstreams, services, partitions);
	}

	/**
	 * Returns the load that other hosts put on an upstream.
	 * @param upstream the upstream, not null
	 * @return the load, never null
	 */
	public UpstreamLoad getUpstream(UpstreamId upstream) {
		return this.upstreams.getOrDefault(upstream, UpstreamLoad.NONE);
	}

	/**
	 * Returns the demand for a service in a failure domain, without this host's own.
	 * @param domain the failure domain, not null
	 * @param service the service, not null
	 * @return the demand, never null
	 */
	public ServiceDemand getService(FailureDomain domain, ServiceName service) {
		return this.services.getOrDefault(domain, Map.of()).getOrDefault(service, ServiceDemand.NONE);
	}

	/**
	 * Returns the owner of a partition according to digests; the highest term counts.
	 * @param partition the partition
	 * @return the owner, empty if no other live host told that it owns it
	 */
	public Optional<PartitionOwner> getOwner(int partition) {
		return Optional.ofNullable(this.partitions.get(partition));
	}

	private static UpstreamLoad add(UpstreamLoad a, UpstreamLoad b) {
		UpstreamLoad sum = a.plus(b.inFlightOnline(), b.inFlightBatch(), b.lowestLimit(), false);
		return new UpstreamLoad(sum.inFlightOnline(), sum.inFlightBatch(), sum.lowestLimit(),
				a.openBreakers() + b.openBreakers());
	}

	/**
	 * Holds a digest and when it came.
	 *
	 * @param digest the digest; its names must be valid
	 * @param receivedMillis the local monotonic time
	 */
	public record ReceivedDigest(Digest digest, long receivedMillis) {

	}

}
