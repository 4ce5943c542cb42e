package org.wigeonglade.entry.batch;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.wigeonglade.core.batch.OwnershipPolicy;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetView;

/**
 * Remembers the ranking of hosts for each partition until the hosts change, because a
 * ranking sorts all hosts. Thread-safe.
 */
final class RankTable {

	private volatile Ranks ranks = new Ranks(List.of(), new ConcurrentHashMap<>());

	List<HostId> rank(int partition, FleetView view) {
		List<Member> members = view.hosts()
			.stream()
			.map((host) -> new Member(host.id(), host.domain(), host.stopping()))
			.toList();
		Ranks current = this.ranks;
		if (!current.members.equals(members)) {
			current = new Ranks(members, new ConcurrentHashMap<>());
			this.ranks = current;
		}
		return current.byPartition.computeIfAbsent(partition, (key) -> OwnershipPolicy.rank(key, view));
	}

	/**
	 * What a ranking depends on.
	 *
	 * @param id the host
	 * @param domain its failure domain
	 * @param stopping whether it stops
	 */
	private record Member(HostId id, FailureDomain domain, boolean stopping) {
	}

	/**
	 * Rankings of one set of hosts.
	 *
	 * @param members the hosts
	 * @param byPartition the rankings
	 */
	private record Ranks(List<Member> members, Map<Integer, List<HostId>> byPartition) {
	}

}
