package org.wigeonglade.gateway.workspace;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * The requests that a workspace may make over all hosts: a rate and a burst beyond it.
 * Immutable.
 *
 * @param requestsPerSecond the rate in requests per second, at least 0; 0 for no limit
 * @param burst the requests that may be made at once, at least 0
 */
public record UsageLimit(double requestsPerSecond, double burst) {

	/** No limit. */
	public static final UsageLimit NONE = new UsageLimit(0, 0);

	/** Upper bound of the rate and of the burst, so that sums stay exact. */
	private static final double MAX_VALUE = 1e9;

	/**
	 * Creates the limit.
	 * @throws InvalidRequestException if the rate or the burst is negative, not finite or
	 * beyond the upper bound
	 */
	public UsageLimit {
		requireValid("rate", requestsPerSecond);
		requireValid("burst", burst);
	}

	/**
	 * Returns whether there is a limit.
	 * @return false for a rate of 0
	 */
	public boolean isLimited() {
		return this.requestsPerSecond > 0;
	}

	private static void requireValid(String name, double value) {
		if (!(value >= 0 && value <= MAX_VALUE)) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"the " + name + " of a usage limit must be from 0 to " + (long) MAX_VALUE + " but is " + value);
		}
	}

}
