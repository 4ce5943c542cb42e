package org.wigeonglade.entry.completion;

import com.fasterxml.jackson.databind.JsonNode;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Holds the checked body of a completion request.
 *
 * @param model the model, not empty
 * @param prompt the prompt text; messages of a chat are joined by line
 * @param maxTokens the largest number of tokens of the answer
 * @param stream whether the answer is streamed by SSE
 * @param chat whether the chat form is used
 */
public record CompletionBody(String model, String prompt, int maxTokens, boolean stream, boolean chat) {

	/** Tokens of an answer when the body does not say. */
	private static final int DEFAULT_MAX_TOKENS = 256;

	/** Largest accepted number of tokens of an answer. */
	private static final int LARGEST_MAX_TOKENS = 32_768;

	/**
	 * Checks a body.
	 * @param body the parsed body, not null
	 * @param chat whether the chat form is used
	 * @return the checked body, never null
	 * @throws InvalidRequestException if a field is missing or out of range
	 */
	public static CompletionBody of(JsonNode body, boolean chat) {
		String model = text(body.get("model"), "model");
		String prompt = chat ? joinMessages(body.get("messages")) : text(body.get("prompt"), "prompt");
		return new CompletionBody(model, prompt, maxTokens(body), body.path("stream").asBoolean(false), chat);
	}

	private static int maxTokens(JsonNode body) {
		JsonNode value = body.has("max_tokens") ? body.get("max_tokens") : body.get("max_completion_tokens");
		if (value == null || value.isNull()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1
				|| value.intValue() > LARGEST_MAX_TOKENS) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID,
					"max_tokens must be an integer from 1 to " + LARGEST_MAX_TOKENS);
		}
		return value.intValue();
	}

	private static String joinMessages(JsonNode messages) {
		if (messages == null || !messages.isArray() || messages.isEmpty()) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, "messages must be a list that is not empty");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(text(message.get("role"), "role"))
				.append(": ")
				.append(text(message.get("content"), "content"))
				.append('\n');
		}
		return prompt.toString();
	}

	private static String text(JsonNode node, String field) {
		if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, field + " must be a text that is not empty");
		}
		return node.textValue();
	}

}
