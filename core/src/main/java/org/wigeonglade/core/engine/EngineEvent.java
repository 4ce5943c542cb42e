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
	 * @param version the version of the engine that generated it, empty if the engine
	 * names none
	 */
	record Token(int index, String text, String version) implements EngineEvent {

		/**
		 * Creates a token of an engine that names no version.
		 * @param index the position in the completion, from 0
		 * @param text the text of the token
		 */
		public Token(int index, String text) {
			this(index, text, "");
		}

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
