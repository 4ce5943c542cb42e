package org.wigeonglade.gateway.online;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.retry.Quarantine;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.fleet.OverloadPolicy;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.stream.StreamOrigin;
import org.wigeonglade.gateway.workspace.UsageDecision;

/**
 * The collaborators shared by all online requests.
 *
 * @param loop the event loop, not null
 * @param ticker the clock, not null
 * @param fleet the runners, not null
 * @param policy chooses the runner of a request, not null
 * @param overload decides who is rejected when capacity is short, not null
 * @param protocol reads and writes the headers of callers, not null
 * @param crashReporter finds out which requests crash runners, not null
 * @param origins keeps what began each stream, not null
 * @param preemptor preempts batch items, not null
 * @param metrics the metrics of online requests, not null
 * @param usage limits the requests of workspaces, not null
 */
public record OnlineContext(EventLoop loop, Ticker ticker, Fleet fleet, PlacementPolicy policy, OverloadPolicy overload,
		CallerProtocol protocol, CrashReporter crashReporter, StreamOrigins origins, Preemptor preemptor,
		OnlineMetrics metrics, UsageLimiter usage) {

	/**
	 * Preempts batch items.
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

	}

	/**
	 * Limits the requests of workspaces over all hosts.
	 */
	public interface UsageLimiter {

		/**
		 * Decides on a request and charges it if it fits the limit of its workspace.
		 * @param workspace the workspace, not null
		 * @return the decision, never null
		 */
		UsageDecision tryAdmit(WorkspaceId workspace);

		/**
		 * Returns the cost of an admitted request that was rejected and has not run.
		 * @param workspace the workspace, not null
		 */
		void giveBack(WorkspaceId workspace);

	}

	/**
	 * Keeps what began each stream, so that all hosts can find it.
	 */
	public interface StreamOrigins {

		/**
		 * Records what began a stream.
		 * @param stream the id of the request that received the first event, not null
		 * @param origin what produced the event, not null
		 */
		void record(String stream, StreamOrigin origin);

		/**
		 * Finds what began a stream.
		 * @param stream the id of the request that received the first event, not null
		 * @param listener receives the origin, possibly before this method returns; empty
		 * if it is not known
		 */
		void find(String stream, Consumer<Optional<StreamOrigin>> listener);

	}

	/**
	 * Finds out which requests crash runners, together with the other hosts.
	 */
	public interface CrashReporter {

		/**
		 * Reports that a runner crashed with a request in progress.
		 * @param runner the runner, not null
		 * @param suspects the fingerprints of the request and of the parts of its prompt,
		 * not null
		 * @param progressed whether the request had output long before the crash, so that
		 * it cannot be the cause
		 */
		void reportCrash(RunnerEntry runner, List<Fingerprint> suspects, boolean progressed);

		/**
		 * Reports that no connection to a runner could be opened.
		 * @param runner the runner, not null
		 */
		void reportUnreachable(RunnerEntry runner);

		/**
		 * Reports that a request was served.
		 * @param runner the runner that served it, not null
		 * @param suspects the fingerprints of the request and of the parts of its prompt,
		 * not null
		 * @param sentMillis the time at which it was sent to the runner, in milliseconds
		 * since the epoch
		 */
		void reportServed(RunnerEntry runner, List<Fingerprint> suspects, long sentMillis);

		/**
		 * Returns the quarantine of a request.
		 * @param suspects the fingerprints of the request and of the parts of its prompt,
		 * not null
		 * @return the quarantine, empty if the request may run
		 */
		Optional<Quarantine> findQuarantine(List<Fingerprint> suspects);

	}

}
