package org.wigeonglade.core.engine;

import java.util.List;

import org.wigeonglade.core.id.RequestId;

/**
 * Holds a completion request for an engine.
 *
 * @param requestId the identifier, unique for each attempt
 * @param model the model
 * @param prompt the prompt text
 * @param maxTokens the largest number of tokens of the whole answer, at least 1
 * @param resumeTokens the tokens that an earlier attempt already produced, empty to start
 * @param traceParent the W3C trace context, or empty
 */
public record EngineRequest(RequestId requestId, String model, String prompt, int maxTokens, List<String> resumeTokens,
		String traceParent) {

	/**
	 * Creates the request with a copy of the tokens.
	 */
	public EngineRequest {
		resumeTokens = List.copyOf(resumeTokens);
	}

}
