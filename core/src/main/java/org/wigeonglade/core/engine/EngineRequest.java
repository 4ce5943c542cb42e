package org.wigeonglade.core.engine;

import java.util.List;

import org.wigeonglade.core.id.RequestId;

/**
 * Completion request to an engine.
 *
 * @param requestId the identifier, unique for each attempt
 * @param model the model
 * @param prompt the prompt text
 * @param maxTokens the maximum number of completion tokens, including those to resume
 * after; at least 1
 * @param resumeTokens the tokens that earlier attempts generated, empty for none
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
