package org.wigeonglade.entry.completion;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.id.Fingerprint;

/**
 * Validated body of a completion or chat completion request.
 *
 * @param model the name of the model, not empty
 * @param prompt the prompt; of a chat the messages as lines of role and content
 * @param maxTokens the largest number of tokens to generate, at least 1
 * @param stream whether the response is streamed as server-sent events
 * @param chat whether this is a chat completion
 * @param sharedParts the fingerprints of the messages of a chat that other requests may
 * share: all but the last
 */
public record CompletionBody(String model, String prompt, int maxTokens, boolean stream, boolean chat,
		List<Fingerprint> sharedParts) {

	/** Used if the body does not limit the number of tokens. */
	private static final int DEFAULT_MAX_TOKENS = 256;

	/** Largest value of max_tokens that is accepted. */
	private static final int MAX_TOKENS_LIMIT = 32_768;

	/**
	 * Creates the body with an unmodifiable copy of the fingerprints.
	 */
	public CompletionBody {
		sharedParts = List.copyOf(sharedParts);
	}

	/**
	 * Validates a body.
	 * @param body the parsed body, not null
	 * @param chat whether this is a chat completion
	 * @return the validated body, never null
	 * @throws InvalidRequestException if a field is missing or out of range
	 */
	public static CompletionBody of(JsonNode body, boolean chat) {
		String model = requireText(body.get("model"), "model");
		String prompt = chat ? joinMessages(body.get("messages")) : requireText(body.get("prompt"), "prompt");
		return new CompletionBody(model, prompt, maxTokens(body), body.path("stream").asBoolean(false), chat,
				chat ? fingerprintShared(body.get("messages")) : List.of());
	}

	private static List<Fingerprint> fingerprintShared(JsonNode messages) {
		List<Fingerprint> shared = new ArrayList<>();
		for (int i = 0; i < messages.size() - 1; i++) {
			shared.add(Fingerprints.ofMessage(messages.get(i).get("role").textValue(),
					messages.get(i).get("content").textValue()));
		}
		return shared;
	}

	private static int maxTokens(JsonNode body) {
		JsonNode value = body.has("max_tokens") ? body.get("max_tokens") : body.get("max_completion_tokens");
		if (value == null || value.isNull()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1
				|| value.intValue() > MAX_TOKENS_LIMIT) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID,
					"max_tokens must be an integer from 1 to " + MAX_TOKENS_LIMIT);
		}
		return value.intValue();
	}

	private static String joinMessages(JsonNode messages) {
		if (messages == null || !messages.isArray() || messages.isEmpty()) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, "messages must be a list that is not empty");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(requireText(message.get("role"), "role"))
				.append(": ")
				.append(requireText(message.get("content"), "content"))
				.append('\n');
		}
		return prompt.toString();
	}

	private static String requireText(JsonNode node, String field) {
		if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, field + " must be a text that is not empty");
		}
		return node.textValue();
	}

}
