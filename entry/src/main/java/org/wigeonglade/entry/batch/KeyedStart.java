package org.wigeonglade.entry.batch;

/**
 * Tells what to do with a keyed request.
 */
public sealed interface KeyedStart {

	/** The intent is durable: run the request, then call {@code completeKeyed}. */
	record Run() implements KeyedStart {
	}

	/**
	 * An earlier request with the key was answered: give the same answer.
	 *
	 * @param answer the stored answer
	 */
	record Stored(KeyedAnswer answer) implements KeyedStart {
	}

	/**
	 * An earlier request with the key is still running.
	 *
	 * @param requestId the id of that request
	 */
	record InProgress(String requestId) implements KeyedStart {
	}

	/**
	 * An earlier request with the key may have run; its host is lost or it ended without
	 * a complete answer. It must not be run again.
	 *
	 * @param requestId the id of that request
	 */
	record Unknown(String requestId) implements KeyedStart {
	}

}
