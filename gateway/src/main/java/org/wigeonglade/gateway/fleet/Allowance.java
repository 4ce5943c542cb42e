package org.wigeonglade.gateway.fleet;

/**
 * The number of requests that the rate limit of a runner admits now.
 *
 * @param online the online requests, negative after too many requests
 * @param batch the batch items, at least 0
 */
public record Allowance(int online, int batch) {

	/** The allowance of a runner without a rate limit. */
	public static final Allowance UNLIMITED = new Allowance(Integer.MAX_VALUE, Integer.MAX_VALUE);

	/**
	 * Returns whether the runner has a rate limit.
	 * @return false for {@link #UNLIMITED}
	 */
	public boolean isLimited() {
		return this.online != Integer.MAX_VALUE;
	}

}
