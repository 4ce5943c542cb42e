package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

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

	private final Map<JobId, List<SubmittedItem>> ownItems = new HashMap<>();

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
	 * Returns the items of a job that fall to this host. They are kept until the set of
	 * hosts changes, so that a step costs as much as the own items, not as all items.
	 * @param job a complete job, not null
	 * @return the items, also those that have a result, never null
	 */
	List<SubmittedItem> getOwnItems(Job job) {
		if (this.version != this.peers.getVersion()) {
			this.ownItems.clear();
			this.version = this.peers.getVersion();
		}
		return this.ownItems.computeIfAbsent(job.getId(),
				(id) -> job.getItems().stream().filter((item) -> isOwn(id, item.id())).toList());
	}

	/**
	 * Forgets the items of jobs that are no longer kept.
	 * @param jobs the jobs that are kept, not null
	 */
	void retain(Collection<Job> jobs) {
		if (this.ownItems.size() > jobs.size()) {
			Set<JobId> kept = jobs.stream().map(Job::getId).collect(Collectors.toSet());
			this.ownItems.keySet().retainAll(kept);
		}
	}

	/**
	 * Returns whether an item falls to this host.
	 * @param job its job, not null
	 * @param item the item, not null
	 * @return true if this host runs it
	 */
	boolean isOwn(JobId job, ItemId item) {
		return isOwn(job + "/" + item);
	}

	/**
	 * Returns whether a task falls to this host.
	 * @param task names it over all jobs, not null
	 * @return true if this host runs it
	 */
	boolean isOwn(String task) {
		return owner(task).equals(this.self);
	}

	private HostId owner(String task) {
		List<HostId> hosts = new ArrayList<>();
		this.peers.getPeers().stream().filter(PeerTable.Peer::isEligible).forEach((p) -> hosts.add(p.getHost()));
		if (this.selfCurrent) {
			hosts.add(this.self);
		}
		if (hosts.isEmpty()) {
			this.peers.getPeers().stream().filter(PeerTable.Peer::isServing).forEach((p) -> hosts.add(p.getHost()));
			hosts.add(this.self);
		}
		return Rendezvous.first(task, hosts, HostId::value).orElse(this.self);
	}

}
