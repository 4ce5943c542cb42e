package org.wigeonglade.entry.online;

import org.wigeonglade.core.id.HostId;

/**
 * Notifies the batch dispatcher of a runner of the number of online requests that this
 * host has in flight on the runner. An increase is announced before the request is sent.
 */
final class ArrivalNotices {

	private final PeerNotifier notifier;

	private final Listener local;

	ArrivalNotices(PeerNotifier notifier, Listener local) {
		this.notifier = notifier;
		this.local = local;
	}

	void announce(RunnerState runner) {
		HostId dispatcher = runner.getDispatcher();
		runner.setNotifiedDispatcher(dispatcher);
		if (dispatcher.equals(this.notifier.getSelf())) {
			this.local.onArrival(runner, dispatcher, runner.getCountToAnnounce());
		}
		else {
			this.notifier.sendArrival(dispatcher, runner.getMember(), runner.getCountToAnnounce());
		}
	}

	/** Receives the counts that hosts announce for a runner. */
	interface Listener {

		void onArrival(RunnerState runner, HostId from, int count);

	}

}
