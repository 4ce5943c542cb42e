package org.wigeonglade.entry.online;

import org.wigeonglade.core.id.HostId;

/**
 * Tells the batch dispatcher of a runner how many online requests this host has in flight
 * on it, before each of them is sent.
 */
final class ArrivalNotices {

	private final HostLinks links;

	private final Listener local;

	ArrivalNotices(HostLinks links, Listener local) {
		this.links = links;
		this.local = local;
	}

	void changed(RunnerState runner) {
		HostId dispatcher = runner.getDispatcher();
		runner.setToldDispatcher(dispatcher);
		if (dispatcher.equals(this.links.getSelf())) {
			this.local.onArrival(runner, dispatcher, runner.getAnnouncedCount());
		}
		else {
			this.links.sendArrival(dispatcher, runner.getMember(), runner.getAnnouncedCount());
		}
	}

	/** Takes the count of a host whose runner is dispatched here. */
	interface Listener {

		void onArrival(RunnerState runner, HostId from, int count);

	}

}
