package org.wigeonglade.core.engine;

/**
 * Event of a completion stream.
 */
public sealed interface EngineEvent {

	/**
	 * One generated token.
	 *
	 * @param index the position in the answer, from 0 or from the resume position
	 * @param text the text of the token
	 */
	record Token(int index, String text) implements EngineEvent {
	}

	/**
	 * End mark of a complete answer.
	 *
	 * @param finishReason why generation ended, such as {@code stop} or {@code length}
	 * @param promptTokens the number of prompt tokens
	 * @param completionTokens the number of tokens of the whole answer
	 */
	record End(String finishReason, int promptTokens, int completionTokens) implements EngineEvent {
	}

}
