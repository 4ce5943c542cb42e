package org.wigeonglade.core.member;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Holds the times and sizes that membership decides by.
 *
 * @param hostSilentMillis the silence after which a host with direct digests is lost
 * @param meshLimit the largest fleet in which every host sends digests to every other
 */
public record MemberTiming(long hostSilentMillis, int meshLimit) {

	/**
	 * One digest a second to 48 hosts stays within the budget of control traffic.
	 */
	public static final int DEFAULT_MESH_LIMIT = 48;

	/**
	 * Hosts of other domains are heard of through a few links and by relayed views, each
	 * of which takes a few digest intervals.
	 */
	static final int INDIRECT_SILENCE_FACTOR = 10;

	/**
	 * Lost members are remembered for this many silences, so that an old incarnation is
	 * recognised.
	 */
	static final int FORGET_FACTOR = 200;

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
