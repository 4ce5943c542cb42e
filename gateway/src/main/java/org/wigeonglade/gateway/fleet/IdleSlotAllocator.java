package org.wigeonglade.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.Rendezvous;

/**
 * Allocates the idle slots of runners among the hosts that have batch items waiting.
 * Without it, when a burst ends, every host sees the same idle slots at the same time and
 * together the hosts start several times as many items as there are slots. Wall-clock
 * time is divided into rounds of a few tens of milliseconds. In each round, rendezvous
 * hashing ranks the hosts for each runner, and each host starts only the items of its
 * share; the loads reported by the next round include the items started. Not thread-safe.
 */
public final class IdleSlotAllocator {

	private final HostId self;

	private final Map<RunnerId, Integer> remainingShares = new HashMap<>();

	private long round = Long.MIN_VALUE;

	/**
	 * Creates an allocator for one host, without any allocation.
	 * @param self this host, not null
	 */
	public IdleSlotAllocator(HostId self) {
		this.self = self;
	}

	/**
	 * Allocates an idle slot of a runner if this host has any of its share left in this
	 * round.
	 * @param runner the runner, not null
	 * @param freeSlots the idle slots by the last reports, negative if requests queue
	 * @param currentRound the number of the round, derived from wall-clock time so that
	 * it is the same on all hosts
	 * @param contenders the hosts with batch items waiting, including this one, not null
	 * @return true if this host may start one item on the runner
	 */
	public boolean tryAllocate(RunnerId runner, int freeSlots, long currentRound, Collection<HostId> contenders) {
		if (this.round != currentRound) {
			this.round = currentRound;
			this.remainingShares.clear();
		}
		int remaining = this.remainingShares.computeIfAbsent(runner, (id) -> computeShare(id, freeSlots, contenders));
		if (remaining <= 0 || freeSlots <= 0) {
			return false;
		}
		this.remainingShares.put(runner, remaining - 1);
		return true;
	}

	private int computeShare(RunnerId runner, int freeSlots, Collection<HostId> contenders) {
		List<HostId> ranked = Rendezvous.rank(runner + "/" + this.round, contenders, HostId::value);
		int rank = 0;
		for (Iterator<HostId> i = ranked.iterator(); i.hasNext() && !i.next().equals(this.self);) {
			rank++;
		}
		return (rank < freeSlots) ? (freeSlots - 1 - rank) / ranked.size() + 1 : 0;
	}

}
