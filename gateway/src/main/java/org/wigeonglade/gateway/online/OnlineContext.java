package org.wigeonglade.gateway.online;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.runner.Fleet;

/**
 * The collaborators shared by all online requests.
 *
 * @param loop the event loop, not null
 * @param ticker the clock, not null
 * @param fleet the runners, not null
 * @param policy chooses the runner of a request, not null
 * @param protocol reads and writes the headers of callers, not null
 * @param crashTracker tracks requests that are suspected of crashing runners, not null
 * @param preemptor preempts batch items and reports crashes, not null
 * @param metrics the metrics of online requests, not null
 */
public record OnlineContext(EventLoop loop, Ticker ticker, Fleet fleet, PlacementPolicy policy, CallerProtocol protocol,
		CrashTracker crashTracker, Preemptor preemptor, OnlineMetrics metrics) {

	/**
	 * Preempts batch items and reports crashed runners to the other hosts.
	 */
	public interface Preemptor {

		/**
		 * Requests the preemption of batch items on a runner, whichever host started
		 * them.
		 * @param runner the runner, not null
		 * @param slots the number of items to preempt
		 * @return the hosts that were asked to preempt an item, for the log
		 */
		String preempt(RunnerEntry runner, int slots);

		/**
		 * Reports to the other hosts that a runner crashed with a request in progress.
		 * @param fingerprint the fingerprint of the request
		 * @param runner the runner, not null
		 */
		void reportCrash(long fingerprint, RunnerEntry runner);

	}

}
