package org.wigeonglade.gateway.caller;

/**
 * The size of a request as its caller states it.
 *
 * @param input the number of tokens of the prompt, at least 0
 * @param output the maximum number of tokens of the output, at least 0
 */
public record TokenUsage(long input, long output) {

	/**
	 * Returns the memory that the request takes at a runner.
	 * @return the sum in tokens
	 */
	public long getTotal() {
		return this.input + this.output;
	}

}
