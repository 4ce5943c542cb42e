package org.wigeonglade.entry.batch;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.wigeonglade.core.batch.OwnershipPolicy;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetView;

/**
 * Cache of the ranking of hosts by partition, valid until the hosts change. Rankings are
 * cached because each one sorts all hosts. Thread-safe.
 */
final class PartitionRankingCache {

	private volatile Rankings rankings = new Rankings(List.of(), new ConcurrentHashMap<>());

	List<HostId> rank(int partition, FleetView view) {
		List<RankingInput> inputs = view.hosts()
			.stream()
			.map((host) -> new RankingInput(host.id(), host.domain(), host.stopping()))
			.toList();
		Rankings current = this.rankings;
		if (!current.inputs.equals(inputs)) {
			current = new Rankings(inputs, new ConcurrentHashMap<>());
			this.rankings = current;
		}
		return current.byPartition.computeIfAbsent(partition, (key) -> OwnershipPolicy.rank(key, view));
	}

	/**
	 * Properties of a host that its rank depends on.
	 *
	 * @param id the host
	 * @param domain its failure domain
	 * @param stopping whether the host is stopping
	 */
	private record RankingInput(HostId id, FailureDomain domain, boolean stopping) {
	}

	/**
	 * Rankings of one set of hosts, computed on demand.
	 *
	 * @param inputs the hosts
	 * @param byPartition the ranked hosts by partition
	 */
	private record Rankings(List<RankingInput> inputs, Map<Integer, List<HostId>> byPartition) {
	}

}
