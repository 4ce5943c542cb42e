package org.wigeonglade.gateway.online;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.runner.Fleet;

/**
 * What online requests share.
 *
 * @param loop the event loop, not null
 * @param ticker the clock, not null
 * @param fleet the runners, not null
 * @param policy places requests, not null
 * @param protocol the headers of callers, not null
 * @param crashes the requests that are suspected of crashing runners, not null
 * @param preemptor has a batch item give its slot back, not null
 * @param metrics the counters, not null
 */
public record OnlineContext(EventLoop loop, Ticker ticker, Fleet fleet, PlacementPolicy policy, CallerProtocol protocol,
		CrashLedger crashes, Preemptor preemptor, OnlineMetrics metrics) {

	/**
	 * Has batch items give slots back.
	 */
	public interface Preemptor {

		/**
		 * Has batch items of a runner give their slots back, wherever they run.
		 * @param runner the runner, not null
		 * @param slots the number of items
		 * @return the hosts that were asked, for the log
		 */
		String preempt(RunnerEntry runner, int slots);

		/**
		 * Tells the other hosts that a runner was lost with a request in progress.
		 * @param fingerprint the request
		 * @param runner the runner, not null
		 */
		void reportCrash(long fingerprint, RunnerEntry runner);

	}

}
