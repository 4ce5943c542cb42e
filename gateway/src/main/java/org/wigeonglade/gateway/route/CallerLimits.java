package org.wigeonglade.gateway.route;

import java.time.Duration;

/**
 * Bounds of what a caller may send.
 *
 * @param maxHeaderBytes the largest size of the request line and headers together, in
 * bytes
 * @param maxBodyBytes the largest size of a request body, in bytes
 * @param headerTimeout the longest time for a request to arrive, not null
 * @param idleTimeout the longest time that a connection may stay without a request, not
 * null
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Limits in force until a configuration is known. */
	public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(5),
			Duration.ofSeconds(15));

}
