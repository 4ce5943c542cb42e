package org.wigeonglade.gateway.host;

import java.util.ArrayList;
import java.util.List;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.job.ItemScheduler;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.peer.PeerStateExchange;

/**
 * Preempts batch items to free slots for online requests: items of this host first, then
 * items of the hosts that run the most on the runner. Confined to the event loop.
 */
final class SlotPreemptor implements OnlineContext.Preemptor {

	private final HostId self;

	private final ItemScheduler items;

	private final LoadTracker loadTracker;

	private final PeerStateExchange exchange;

	SlotPreemptor(HostId self, ItemScheduler items, LoadTracker loadTracker, PeerStateExchange exchange) {
		this.self = self;
		this.items = items;
		this.loadTracker = loadTracker;
		this.exchange = exchange;
	}

	@Override
	public String preempt(RunnerEntry runner, int slots) {
		List<String> preemptedHosts = new ArrayList<>();
		int preempted = this.items.preempt(runner.id(), slots);
		if (preempted > 0) {
			preemptedHosts.add(this.self.value());
		}
		for (int i = preempted; i < slots; i++) {
			HostId host = this.loadTracker.findHostWithMostBatchItems(runner.id());
			if (host == null) {
				break;
			}
			this.exchange.requestPreemption(host, runner.id());
			preemptedHosts.add(host.value());
		}
		return String.join(" ", preemptedHosts);
	}

}
