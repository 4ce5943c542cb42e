package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.gateway.peer.PeerTable;

/**
 * Decides which host runs an item. All hosts with the same view agree, and a host that
 * comes or goes moves only its own items. Answers the pattern of an outage of the store
 * or a restart of many hosts: a host that does not know the present jobs runs items only
 * where no host knows them, and even then each item falls to one of the hosts that are
 * alive. Not thread-safe.
 */
final class ItemOwnership {

	private final HostId self;

	private final PeerTable peers;

	private final Map<String, HostId> owners = new HashMap<>();

	private long version = -1;

	private boolean selfCurrent;

	ItemOwnership(HostId self, PeerTable peers) {
		this.self = self;
		this.peers = peers;
	}

	/**
	 * Sets whether this host knows the present jobs.
	 * @param current true if it has read the stream lately
	 */
	void setSelfCurrent(boolean current) {
		if (this.selfCurrent != current) {
			this.selfCurrent = current;
			this.version = -1;
		}
	}

	/**
	 * Returns whether an item falls to this host.
	 * @param item names the item over all jobs, not null
	 * @return true if this host runs it
	 */
	boolean isOwn(String item) {
		if (this.version != this.peers.getVersion()) {
			this.owners.clear();
			this.version = this.peers.getVersion();
		}
		return this.owners.computeIfAbsent(item, this::owner).equals(this.self);
	}

	private HostId owner(String item) {
		List<HostId> hosts = new ArrayList<>();
		this.peers.getPeers().stream().filter(PeerTable.Peer::isEligible).forEach((p) -> hosts.add(p.getHost()));
		if (this.selfCurrent) {
			hosts.add(this.self);
		}
		if (hosts.isEmpty()) {
			this.peers.getPeers().stream().filter(PeerTable.Peer::isServing).forEach((p) -> hosts.add(p.getHost()));
			hosts.add(this.self);
		}
		return Rendezvous.first(item, hosts, HostId::value).orElse(this.self);
	}

}
