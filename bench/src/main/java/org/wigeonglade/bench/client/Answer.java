package org.wigeonglade.bench.client;

/**
 * Holds what a client saw of one online request.
 *
 * @param status the HTTP status, 0 if no response arrived
 * @param text the text of all tokens
 * @param tokens the number of tokens
 * @param complete whether the end mark arrived
 * @param errorCode the code of the error, empty if there is none
 * @param ran the value of {@code ran} in the error, empty if there is none
 * @param requestId the identifier that the host gave, empty if unknown
 * @param sentNanos when the request was given to the client, monotonic
 * @param firstTokenNanos when the first token arrived, 0 if none did
 * @param endNanos when the response ended or failed
 * @param maxGapNanos the longest time between two tokens
 */
public record Answer(int status, String text, int tokens, boolean complete, String errorCode, String ran,
		String requestId, long sentNanos, long firstTokenNanos, long endNanos, long maxGapNanos) {

	private static final int OK = 200;

	/**
	 * Returns whether the whole answer arrived.
	 * @return true if the end mark was seen on a successful response
	 */
	public boolean isWhole() {
		return this.status == OK && this.complete && this.errorCode.isEmpty();
	}

	/**
	 * Returns whether the client may send the request again without a second run.
	 * @return true if the host stated that nothing ran or could not be reached
	 */
	public boolean isNotRun() {
		return this.ran.equals("not_run");
	}

}
