package org.wigeonglade.gateway.host;

import java.util.ArrayList;
import java.util.List;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.LoadBoard;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.job.ItemScheduler;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.peer.PeerExchange;

/**
 * Has batch items give slots back: those of this host first, then those of the hosts with
 * the most. Confined to the event loop.
 */
final class SlotPreemptor implements OnlineContext.Preemptor {

	private final HostId self;

	private final ItemScheduler items;

	private final LoadBoard board;

	private final PeerExchange exchange;

	SlotPreemptor(HostId self, ItemScheduler items, LoadBoard board, PeerExchange exchange) {
		this.self = self;
		this.items = items;
		this.board = board;
		this.exchange = exchange;
	}

	@Override
	public String preempt(RunnerEntry runner, int slots) {
		List<String> asked = new ArrayList<>();
		int own = this.items.preempt(runner.id(), slots);
		if (own > 0) {
			asked.add(this.self.value());
		}
		for (int i = own; i < slots; i++) {
			HostId holder = this.board.getBatchHolder(runner.id());
			if (holder == null) {
				break;
			}
			this.exchange.requestPreemption(holder, runner.id());
			asked.add(holder.value());
		}
		return String.join(" ", asked);
	}

	@Override
	public void reportCrash(long fingerprint, RunnerEntry runner) {
		this.exchange.reportCrash(fingerprint, runner);
	}

}
