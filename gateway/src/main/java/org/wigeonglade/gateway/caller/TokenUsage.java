package org.wigeonglade.gateway.caller;

/**
 * The tokens that a caller states for a request. Immutable.
 *
 * @param input the tokens of the prompt, at least 0
 * @param output the largest number of tokens of the output, at least 0
 */
public record TokenUsage(int input, int output) {

	/** Effort of an output token relative to one of the input. */
	private static final int OUTPUT_WEIGHT = 10;

	/**
	 * Returns the size of the request.
	 * @return the input tokens plus ten times the output tokens
	 */
	public long getSize() {
		return this.input + (long) OUTPUT_WEIGHT * this.output;
	}

}
