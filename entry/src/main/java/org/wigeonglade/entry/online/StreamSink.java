package org.wigeonglade.entry.online;

import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.error.WigeongladeException;

/**
 * Receives the events of one response: tokens in order without gaps or duplicates, then
 * exactly one of {@link #onEnd} and {@link #onFailure}. Calls never overlap.
 */
public interface StreamSink {

	/**
	 * Receives the next token.
	 * @param token the token, not null
	 */
	void onToken(EngineEvent.Token token);

	/**
	 * Receives the end of a complete response.
	 * @param end the end event, not null
	 */
	void onEnd(EngineEvent.End end);

	/**
	 * Receives the failure that ends the response.
	 * @param failure the failure, not null
	 */
	void onFailure(WigeongladeException failure);

}
