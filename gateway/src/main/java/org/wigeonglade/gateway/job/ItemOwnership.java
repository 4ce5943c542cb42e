package org.wigeonglade.gateway.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.collect.Sets;
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

	private final Map<JobId, JobOwners> owners = new HashMap<>();

	private long version = -1;

	private boolean selfCaughtUp;

	private MembershipChange lastChange = new MembershipChange(0, Set.of(), Set.of(), Set.of());

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
	 * Returns the items of a job that this host owns. The owners of all items are kept,
	 * so that a change of the set of hosts costs one hash for each item and host that was
	 * added.
	 * @param job a complete job, not null
	 * @return the items, including those that already have a result, never null
	 */
	Set<ItemId> getOwnedItems(Job job) {
		updateMembers();
		return this.owners.computeIfAbsent(job.getId(), (id) -> new JobOwners(job)).getOwnedItems();
	}

	/**
	 * Removes the cached items of jobs that no longer exist.
	 * @param jobs the existing jobs, not null
	 */
	void retain(Collection<Job> jobs) {
		if (this.owners.size() > jobs.size()) {
			Set<JobId> existing = jobs.stream().map(Job::getId).collect(Collectors.toSet());
			this.owners.keySet().retainAll(existing);
		}
	}

	/**
	 * Returns whether this host owns an item.
	 * @param job a complete job, not null
	 * @param item the item, not null
	 * @return true if this host runs the item
	 */
	boolean isOwner(Job job, ItemId item) {
		return getOwnedItems(job).contains(item);
	}

	/**
	 * Returns whether this host owns a task.
	 * @param task a globally unique name of the task, not null
	 * @return true if this host runs the task
	 */
	boolean isOwner(String task) {
		updateMembers();
		return findOwner(task).host().equals(this.self);
	}

	private void updateMembers() {
		if (this.version == this.peers.getVersion()) {
			return;
		}
		this.version = this.peers.getVersion();
		Set<HostId> members = findMembers();
		if (!members.equals(this.lastChange.members())) {
			this.lastChange = this.lastChange.next(members);
		}
	}

	private Set<HostId> findMembers() {
		Set<HostId> hosts = new HashSet<>();
		this.peers.getPeers().stream().filter(PeerTable.Peer::isEligible).forEach((p) -> hosts.add(p.getHost()));
		if (this.selfCaughtUp) {
			hosts.add(this.self);
		}
		if (hosts.isEmpty()) {
			this.peers.getPeers().stream().filter(PeerTable.Peer::isServing).forEach((p) -> hosts.add(p.getHost()));
			hosts.add(this.self);
		}
		return hosts;
	}

	private Owner findOwner(String task) {
		return this.lastChange.members()
			.stream()
			.map((host) -> Owner.of(task, host))
			.reduce(Owner::first)
			.orElseThrow();
	}

	/**
	 * The members at a time, and how they differ from those before.
	 *
	 * @param number the number of the change
	 * @param members all members, not empty after the first change
	 * @param added the members that were added
	 * @param removed the members that were removed
	 */
	private record MembershipChange(long number, Set<HostId> members, Set<HostId> added, Set<HostId> removed) {

		MembershipChange next(Set<HostId> next) {
			return new MembershipChange(this.number + 1, next, Set.copyOf(Sets.difference(next, this.members)),
					Set.copyOf(Sets.difference(this.members, next)));
		}

	}

	/**
	 * The owner of an item.
	 *
	 * @param host the host
	 * @param score its weight for the item
	 */
	private record Owner(HostId host, long score) {

		static Owner of(String task, HostId host) {
			return new Owner(host, Rendezvous.score(task, host.value()));
		}

		Owner first(Owner other) {
			boolean tie = this.score == other.score;
			return (tie ? this.host.compareTo(other.host) < 0 : this.score > other.score) ? this : other;
		}

	}

	/**
	 * The owners of the items of a job.
	 */
	private final class JobOwners {

		private final String jobPrefix;

		private final Map<ItemId, Owner> owners = new LinkedHashMap<>();

		private Set<ItemId> ownedItems;

		private long changeNumber;

		private JobOwners(Job job) {
			this.jobPrefix = job.getId() + "/";
			job.getItems().forEach((item) -> this.owners.put(item.id(), findOwner(this.jobPrefix + item.id())));
			complete();
		}

		private Set<ItemId> getOwnedItems() {
			MembershipChange change = ItemOwnership.this.lastChange;
			if (this.changeNumber != change.number()) {
				boolean next = this.changeNumber == change.number() - 1;
				this.owners.replaceAll((item, owner) -> update(this.jobPrefix + item, owner, change, next));
				complete();
			}
			return this.ownedItems;
		}

		private Owner update(String task, Owner owner, MembershipChange change, boolean next) {
			if (!next || change.removed().contains(owner.host())) {
				return findOwner(task);
			}
			return change.added().stream().map((host) -> Owner.of(task, host)).reduce(owner, Owner::first);
		}

		private void complete() {
			this.changeNumber = ItemOwnership.this.lastChange.number();
			this.ownedItems = new LinkedHashSet<>();
			this.owners.forEach((item, owner) -> {
				if (owner.host().equals(ItemOwnership.this.self)) {
					this.ownedItems.add(item);
				}
			});
		}

	}

}
