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
 * Assigns items to hosts by rendezvous hashing. All hosts with the same membership view
 * compute the same owner, and a host that joins or leaves moves only its own items.
 * During an outage of the store or a restart of many hosts, some hosts do not have the
 * current state of jobs. Such a host owns items only while no host has that state; even
 * then, each item has a single owner among the live hosts. Not thread-safe.
 */
final class ItemOwnership {

	private final HostId self;

	private final PeerTable peers;

	private final Map<JobId, List<ItemId>> ownedItems = new HashMap<>();

	private long version = -1;

	private boolean selfCaughtUp;

	ItemOwnership(HostId self, PeerTable peers) {
		this.self = self;
		this.peers = peers;
	}

	/**
	 * Sets whether this host has the current state of jobs.
	 * @param caughtUp true if it has read the stream recently
	 */
	void setSelfCaughtUp(boolean caughtUp) {
		if (this.selfCaughtUp != caughtUp) {
			this.selfCaughtUp = caughtUp;
			this.version = -1;
		}
	}

	/**
	 * Returns the items of a job that this host owns. They are cached until the set of
	 * hosts changes, so that the cost of a scheduling step depends on the number of owned
	 * items, not of all items.
	 * @param job a complete job, not null
	 * @return the items, including those that already have a result, never null
	 */
	List<ItemId> getOwnedItems(Job job) {
		if (this.version != this.peers.getVersion()) {
			this.ownedItems.clear();
			this.version = this.peers.getVersion();
		}
		return this.ownedItems.computeIfAbsent(job.getId(),
				(id) -> job.getItems().stream().map(SubmittedItem::id).filter((item) -> isOwner(id, item)).toList());
	}

	/**
	 * Removes the cached items of jobs that no longer exist.
	 * @param jobs the existing jobs, not null
	 */
	void retain(Collection<Job> jobs) {
		if (this.ownedItems.size() > jobs.size()) {
			Set<JobId> existing = jobs.stream().map(Job::getId).collect(Collectors.toSet());
			this.ownedItems.keySet().retainAll(existing);
		}
	}

	/**
	 * Returns whether this host owns an item.
	 * @param job the job that contains the item, not null
	 * @param item the item, not null
	 * @return true if this host runs the item
	 */
	boolean isOwner(JobId job, ItemId item) {
		return isOwner(job + "/" + item);
	}

	/**
	 * Returns whether this host owns a task.
	 * @param task a globally unique name of the task, not null
	 * @return true if this host runs the task
	 */
	boolean isOwner(String task) {
		return owner(task).equals(this.self);
	}

	private HostId owner(String task) {
		List<HostId> hosts = new ArrayList<>();
		this.peers.getPeers().stream().filter(PeerTable.Peer::isEligible).forEach((p) -> hosts.add(p.getHost()));
		if (this.selfCaughtUp) {
			hosts.add(this.self);
		}
		if (hosts.isEmpty()) {
			this.peers.getPeers().stream().filter(PeerTable.Peer::isServing).forEach((p) -> hosts.add(p.getHost()));
			hosts.add(this.self);
		}
		return Rendezvous.first(task, hosts, HostId::value).orElse(this.self);
	}

}
