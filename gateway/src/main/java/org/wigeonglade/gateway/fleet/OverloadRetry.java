package org.wigeonglade.gateway.fleet;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Draws the retry delays of requests that are rejected under overload, so that a step of
 * the load does not come back as a second step. Not thread-safe.
 */
final class OverloadRetry {

	/** Usual shortest delay in milliseconds; most bursts are over by then. */
	private static final double MIN_MILLIS = 800;

	/** Shortest range in milliseconds that delays are spread over. */
	private static final double MIN_SPREAD_MILLIS = 800;

	/** Shortest delay of a caller with little time left. */
	private static final double SHORTEST_MILLIS = 40;

	/** Largest part of the time left that callers wait before they return. */
	private static final double MAX_FRACTION = 1.0 / 3;

	private final RandomGenerator random;

	OverloadRetry(RandomGenerator random) {
		this.random = random;
	}

	// The delay starts when the missing room has been completed.
	Duration draw(double untilRoom, Duration untilDeadline) {
		double max = Math.max(0, untilDeadline.toMillis()) * MAX_FRACTION;
		double upper = Math.min(max, Math.max(untilRoom, MIN_MILLIS) + MIN_SPREAD_MILLIS);
		double lower = Math.min(Math.max(untilRoom, MIN_MILLIS), upper / 2);
		return Duration.ofMillis((long) Math.max(SHORTEST_MILLIS, lower + (upper - lower) * this.random.nextDouble()));
	}

}
