package org.wigeonglade.gateway.caller;

/**
 * The size of a request as its caller states it. Immutable.
 *
 * @param input the number of tokens of the prompt, at least 0
 * @param output the maximum number of tokens of the output, at least 0
 */
public record TokenUsage(long input, long output) {

	/** Effort of an output token relative to one of the input. */
	private static final int OUTPUT_WEIGHT = 10;

	/**
	 * Returns the memory that the request takes at a runner.
	 * @return the sum in tokens
	 */
	public long getTotal() {
		return this.input + this.output;
	}

	/**
	 * Returns the effort that the request takes of a runner.
	 * @return the input tokens plus ten times the output tokens
	 */
	public long getSize() {
		return this.input + OUTPUT_WEIGHT * this.output;
	}

}
