package org.wigeonglade.gateway.fleet;

import java.util.OptionalDouble;

/**
 * The limit of requests that a runner has named in its responses. Immutable.
 *
 * @param runner the runner, not null
 * @param startedMillis the start of its process, in milliseconds since the epoch
 * @param requestsPerSecond the requests per second that it takes from all hosts together,
 * empty since it names no limit any more
 * @param observedMillis the time at which it named the limit, in milliseconds since the
 * epoch; later than that of the limit before, whatever the clocks of the hosts tell
 */
public record RequestLimit(RunnerId runner, long startedMillis, OptionalDouble requestsPerSecond, long observedMillis) {

	boolean isNewerThan(RequestLimit other) {
		return this.startedMillis > other.startedMillis
				|| (this.startedMillis == other.startedMillis && this.observedMillis > other.observedMillis);
	}

}
