package org.wigeonglade.gateway.online;

import io.netty.handler.codec.http.HttpHeaders;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.runner.RunnerResponseHead;

/**
 * The outcome of one attempt to serve a request on a runner.
 */
sealed interface AttemptOutcome {

	/**
	 * The complete response was forwarded to the caller.
	 *
	 * @param status the HTTP status of the response
	 */
	record Completed(int status) implements AttemptOutcome {

	}

	/**
	 * The runner reported that it did not run the request.
	 *
	 * @param head the head of its response, not null
	 */
	record Declined(RunnerResponseHead head) implements AttemptOutcome {

	}

	/**
	 * The runner responded with an error status, or with a success status but without its
	 * signature.
	 *
	 * @param head the head of its response, not null
	 * @param headers the response headers, not null
	 * @param body the response body, not null
	 */
	record RunnerError(RunnerResponseHead head, HttpHeaders headers, byte[] body) implements AttemptOutcome {

	}

	/**
	 * No complete response was received.
	 *
	 * @param failure the cause, not null
	 */
	record Incomplete(RunnerFailure failure) implements AttemptOutcome {

	}

}
