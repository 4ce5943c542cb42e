package org.wigeonglade.entry.batch;

/**
 * Decision on how to proceed with a keyed request.
 */
public sealed interface KeyedRequestDecision {

	/**
	 * The intent is durable: run the request, then call
	 * {@link BatchRuntime#completeKeyed}.
	 */
	record Run() implements KeyedRequestDecision {
	}

	/**
	 * An earlier request with the key has completed: send its response again.
	 *
	 * @param response the stored response
	 */
	record Stored(KeyedResponse response) implements KeyedRequestDecision {
	}

	/**
	 * An earlier request with the key is still running.
	 *
	 * @param requestId the identifier of that request
	 */
	record InProgress(String requestId) implements KeyedRequestDecision {
	}

	/**
	 * An earlier request with the key may have run: its host was lost, or it ended
	 * without a complete response. The request must not be run again.
	 *
	 * @param requestId the identifier of that request
	 */
	record Unknown(String requestId) implements KeyedRequestDecision {
	}

}
