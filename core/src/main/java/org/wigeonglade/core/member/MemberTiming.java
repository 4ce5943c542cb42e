package org.wigeonglade.core.member;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Parameters of membership and failure detection.
 *
 * @param hostSilentMillis the time without a new heartbeat after which a host that sends
 * digests directly is lost
 * @param meshLimit the largest fleet in which every host sends digests to every other
 */
public record MemberTiming(long hostSilentMillis, int meshLimit) {

	/**
	 * One digest per second to 48 hosts stays within the budget of control traffic.
	 */
	public static final int DEFAULT_MESH_LIMIT = 48;

	/**
	 * Multiple of the time-out for hosts of other domains. Their heartbeats arrive
	 * through few links or in relayed views, either of which takes a few digest
	 * intervals.
	 */
	static final int INDIRECT_TIMEOUT_FACTOR = 10;

	/**
	 * Multiple of the time-out for which lost members are retained, so that a stale
	 * incarnation is recognised.
	 */
	static final int RETENTION_FACTOR = 200;

	/**
	 * Creates the timing.
	 * @throws InvalidRequestException if a value is not positive
	 */
	public MemberTiming {
		if (hostSilentMillis < 1 || meshLimit < 1) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"hostSilentMillis and meshLimit must be at least 1 but are " + hostSilentMillis + " and "
							+ meshLimit);
		}
	}

}
