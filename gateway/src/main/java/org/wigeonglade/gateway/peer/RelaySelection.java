package org.wigeonglade.gateway.peer;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * Selects the host through which a connection to a runner is opened: at random, so that
 * the hosts share the relayed connections, and in the own failure domain if possible,
 * since bytes between failure domains are slower.
 */
public final class RelaySelection {

	private RelaySelection() {
	}

	/**
	 * Selects a host.
	 * @param peers the other hosts, not null
	 * @param domain the failure domain of this host, not null
	 * @param excluded the hosts that have failed to relay the connection, not null
	 * @param random the source of random numbers, not null
	 * @return the host, empty if no other host reaches the runners
	 */
	public static Optional<PeerTable.Peer> select(Collection<PeerTable.Peer> peers, FailureDomain domain,
			Set<HostId> excluded, RandomGenerator random) {
		List<PeerTable.Peer> relays = peers.stream()
			.filter((peer) -> peer.isRelaying() && !excluded.contains(peer.getHost()))
			.toList();
		List<PeerTable.Peer> near = relays.stream().filter((peer) -> peer.getDomain().equals(domain)).toList();
		List<PeerTable.Peer> eligible = near.isEmpty() ? relays : near;
		return eligible.isEmpty() ? Optional.empty() : Optional.of(eligible.get(random.nextInt(eligible.size())));
	}

}
