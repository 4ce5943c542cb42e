package org.wigeonglade.entry.online;

import java.util.Comparator;
import java.util.Optional;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.member.FleetViewSource;

/**
 * Runs online requests on the runners of the fleet.
 */
public final class OnlineRuntime {

	private final RunnerTable runners;

	/**
	 * Creates the runtime.
	 * @param fleet the source of the fleet view, not null
	 * @param clients the clients of upstreams, not null
	 */
	public OnlineRuntime(FleetViewSource fleet, UpstreamClients clients) {
		this.runners = new RunnerTable(fleet, clients);
	}

	/**
	 * Returns the runners with their figures.
	 * @return the table, never null
	 */
	public RunnerTable getRunners() {
		return this.runners;
	}

	/**
	 * Runs a request.
	 * @param request the request, not null
	 * @param sink takes the answer, not null
	 * @return the control of the answer, never null
	 */
	public StreamHandle run(OnlineRequest request, StreamSink sink) {
		OnlineStream stream = new OnlineStream(request, sink);
		Optional<RunnerState> runner = this.runners.getUsable(request.service())
			.stream()
			.min(Comparator.comparingInt(RunnerState::getOnline));
		if (runner.isPresent()) {
			stream.start(runner.get());
		}
		else {
			sink.onFailure(new RefusedException(ErrorCode.NO_UPSTREAM,
					"service " + request.service() + " has no runner", java.time.Duration.ofSeconds(1)));
		}
		return stream;
	}

}
