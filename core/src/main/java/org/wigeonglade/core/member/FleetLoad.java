package org.wigeonglade.core.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.peer.PartitionView;

/**
 * Immutable snapshot of the load that other hosts reported in their last digests. The
 * caller leaves out the digests of lost hosts.
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
	 * Aggregates the reported load of hosts.
	 * @param hosts the load of each other live host, not null
	 * @return the snapshot
	 */
	public static FleetLoad of(Collection<ReceivedLoad> hosts) {
		Map<UpstreamId, UpstreamLoad> upstreams = new HashMap<>();
		Map<FailureDomain, Map<ServiceName, ServiceDemand>> services = new HashMap<>();
		Map<Integer, PartitionOwner> partitions = new HashMap<>();
		for (ReceivedLoad host : hosts) {
			host.getUpstreams()
				.forEach((id, view) -> upstreams.merge(id, UpstreamLoad.NONE.plus(view.getInFlightOnline(),
						view.getInFlightBatch(), view.getLimit(), view.getOpenBreaker()), FleetLoad::add));
			Map<ServiceName, ServiceDemand> ofDomain = services.computeIfAbsent(host.getDomain(),
					(d) -> new HashMap<>());
			host.getServices()
				.forEach((name, view) -> ofDomain.put(name, ofDomain.getOrDefault(name, ServiceDemand.NONE)
					.plus(view.getOnlineArrivalsPerS(), view.getSpareSlots(), view.getPendingBatchItems())));
			for (PartitionView view : host.getPartitions()) {
				partitions.merge(
						view.getPartition(), new PartitionOwner(host.getHost(), view.getTerm(), view.getPendingItems(),
								view.getHeadOffset(), host.getReceivedMillis()),
						(a, b) -> (a.term() >= b.term()) ? a : b);
			}
		}
		return new FleetLoad(upstreams, services, partitions);
	}

	/**
	 * Returns the load on an upstream that is caused by other hosts.
	 * @param upstream the upstream, not null
	 * @return the load, never null
	 */
	public UpstreamLoad getUpstream(UpstreamId upstream) {
		return this.upstreams.getOrDefault(upstream, UpstreamLoad.NONE);
	}

	/**
	 * Returns the demand for a service in a failure domain, without that of this host.
	 * @param domain the failure domain, not null
	 * @param service the service, not null
	 * @return the demand, never null
	 */
	public ServiceDemand getService(FailureDomain domain, ServiceName service) {
		return this.services.getOrDefault(domain, Map.of()).getOrDefault(service, ServiceDemand.NONE);
	}

	/**
	 * Returns the owner of a partition according to digests; the highest term wins.
	 * @param partition the partition
	 * @return the owner, empty if no other live host reported that it owns the partition
	 */
	public Optional<PartitionOwner> getOwner(int partition) {
		return Optional.ofNullable(this.partitions.get(partition));
	}

	private static UpstreamLoad add(UpstreamLoad a, UpstreamLoad b) {
		UpstreamLoad sum = a.plus(b.inFlightOnline(), b.inFlightBatch(), b.lowestLimit(), false);
		return new UpstreamLoad(sum.inFlightOnline(), sum.inFlightBatch(), sum.lowestLimit(),
				a.openBreakers() + b.openBreakers());
	}

}
