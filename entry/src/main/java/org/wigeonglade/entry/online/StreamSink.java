package org.wigeonglade.entry.online;

import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.error.WigeongladeException;

/**
 * Takes the events of one answer: tokens in order without gaps or repetition, then
 * exactly one of {@link #onEnd} and {@link #onFailure}. Calls never overlap.
 */
public interface StreamSink {

	/**
	 * Takes a token.
	 * @param token the token, not null
	 */
	void onToken(EngineEvent.Token token);

	/**
	 * Takes the end mark of a complete answer.
	 * @param end the end mark, not null
	 */
	void onEnd(EngineEvent.End end);

	/**
	 * Takes the failure that ends the answer.
	 * @param failure the failure, not null
	 */
	void onFailure(WigeongladeException failure);

}
