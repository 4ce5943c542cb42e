package org.wigeonglade.gateway.online;

import io.netty.handler.codec.http.HttpHeaders;
import org.wigeonglade.gateway.runner.RunnerAnswer;
import org.wigeonglade.gateway.runner.RunnerFailure;

/**
 * How one send to a runner ended.
 */
sealed interface AttemptOutcome {

	/**
	 * The caller has the whole answer.
	 *
	 * @param status the status of the answer
	 */
	record Served(int status) implements AttemptOutcome {

	}

	/**
	 * The runner stated that it did not run the request.
	 *
	 * @param answer what it said, not null
	 */
	record Declined(RunnerAnswer answer) implements AttemptOutcome {

	}

	/**
	 * The runner answered with a failure, or with a success that lacks its signature.
	 *
	 * @param answer what it said, not null
	 * @param headers the headers of its answer, not null
	 * @param body the body of its answer, not null
	 */
	record RunnerError(RunnerAnswer answer, HttpHeaders headers, byte[] body) implements AttemptOutcome {

	}

	/**
	 * There is no complete answer.
	 *
	 * @param failure why, not null
	 */
	record Lost(RunnerFailure failure) implements AttemptOutcome {

	}

}
