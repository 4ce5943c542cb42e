package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * The outcome of a placement decision.
 */
public sealed interface Placement {

	/**
	 * The request is to be sent to a runner now.
	 *
	 * @param runner the runner, not null
	 * @param expectedWait the expected time in the runner's queue, not null
	 * @param preemptions the number of batch items to preempt on the runner, at least 0
	 */
	record Send(RunnerEntry runner, Duration expectedWait, int preemptions) implements Placement {

	}

	/**
	 * The request is to be refused.
	 *
	 * @param cause why no runner can execute it, not null
	 * @param retryAfter the delay after which the caller should retry, not null
	 */
	record Refuse(Cause cause, Duration retryAfter) implements Placement {

	}

	/**
	 * The reason why a request is refused.
	 */
	enum Cause {

		/** No runner of the service is available. */
		NO_RUNNER,

		/** No runner of the version that began the stream is available. */
		NO_RUNNER_OF_VERSION,

		/** It is not known which version began the stream. */
		UNKNOWN_VERSION,

		/** Every runner has had as many requests as its rate limit admits. */
		RATE_LIMITED,

		/** The tokens of the request fit into the free memory of no runner. */
		MEMORY_FULL,

		/** The tokens of the request exceed the whole memory of every runner. */
		TOO_LARGE,

		/** The expected wait at every runner exceeds the constraints of the request. */
		OVERLOADED,

		/** The remaining capacity is reserved for more urgent requests. */
		LESS_URGENT,

		/** Capacity is short and the workspace has had its fair share of it. */
		OVER_FAIR_SHARE,

		/** Capacity is short and the request cannot be complete by its deadline. */
		DEADLINE_UNREACHABLE

	}

}
