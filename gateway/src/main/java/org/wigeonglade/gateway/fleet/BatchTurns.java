package org.wigeonglade.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.Rendezvous;

/**
 * Divides the idle slots of a runner among the hosts that have items waiting. Answers the
 * pattern in which a burst ends, every host sees the same idle slots at once, and
 * together they start several times as many items as there are slots. In each turn, a few
 * tens of milliseconds of the time of day, the hosts rank differently for each runner,
 * and each one starts only its part; the next turn sees what was started. Not
 * thread-safe.
 */
public final class BatchTurns {

	private final HostId self;

	private final Map<RunnerId, Integer> allowances = new HashMap<>();

	private long turn = Long.MIN_VALUE;

	/**
	 * Creates the turns of a host.
	 * @param self this host, not null
	 */
	public BatchTurns(HostId self) {
		this.self = self;
	}

	/**
	 * Takes an idle slot of a runner if it falls to this host in this turn.
	 * @param runner the runner, not null
	 * @param freeSlots the idle slots as this host sees them
	 * @param current the number of the turn; all hosts count alike
	 * @param contenders the hosts with items waiting, this one included, not null
	 * @return true if an item may start on the runner
	 */
	public boolean tryTake(RunnerId runner, int freeSlots, long current, Collection<HostId> contenders) {
		if (this.turn != current) {
			this.turn = current;
			this.allowances.clear();
		}
		int left = this.allowances.computeIfAbsent(runner, (r) -> share(r, freeSlots, contenders));
		if (left <= 0 || freeSlots <= 0) {
			return false;
		}
		this.allowances.put(runner, left - 1);
		return true;
	}

	private int share(RunnerId runner, int freeSlots, Collection<HostId> contenders) {
		List<HostId> ranked = Rendezvous.rank(runner + "/" + this.turn, contenders, HostId::value);
		int rank = 0;
		for (Iterator<HostId> i = ranked.iterator(); i.hasNext() && !i.next().equals(this.self);) {
			rank++;
		}
		return (rank < freeSlots) ? (freeSlots - 1 - rank) / ranked.size() + 1 : 0;
	}

}
