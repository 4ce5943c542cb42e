package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * The outcome of a placement decision.
 */
public sealed interface Placement {

	/**
	 * Send the request now.
	 *
	 * @param runner the runner, not null
	 * @param expectedWait the expected time in the runner's queue, not null
	 * @param preemptions the number of batch items that give the runner's slots back
	 */
	record Send(RunnerEntry runner, Duration expectedWait, int preemptions) implements Placement {

	}

	/**
	 * Refuse the request; it has not run.
	 *
	 * @param cause why no runner takes it, not null
	 * @param retryAfter when a slot is expected to be free, not null
	 */
	record Refuse(Cause cause, Duration retryAfter) implements Placement {

	}

	/**
	 * Why a request is refused.
	 */
	enum Cause {

		/** No usable runner of the service is registered. */
		NO_RUNNER,

		/** The expected wait passes what the caller allows. */
		OVERLOADED

	}

}
