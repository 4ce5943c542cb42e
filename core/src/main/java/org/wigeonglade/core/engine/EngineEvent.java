package org.wigeonglade.core.engine;

/**
 * Event of a completion stream.
 */
public sealed interface EngineEvent {

	/**
	 * One generated token.
	 *
	 * @param index the position in the completion, from 0; tokens of earlier attempts
	 * count
	 * @param text the text of the token
	 */
	record Token(int index, String text) implements EngineEvent {
	}

	/**
	 * End of a complete completion.
	 *
	 * @param finishReason why generation ended, such as {@code stop} or {@code length}
	 * @param promptTokens the number of prompt tokens
	 * @param completionTokens the number of tokens of the completion, including those of
	 * earlier attempts
	 */
	record End(String finishReason, int promptTokens, int completionTokens) implements EngineEvent {
	}

}
