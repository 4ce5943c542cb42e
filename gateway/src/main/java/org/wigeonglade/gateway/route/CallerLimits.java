package org.wigeonglade.gateway.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers together, in
 * bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the time within which a request must be received, not null
 * @param idleTimeout the time after which a connection without a request is closed, not
 * null
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** The limits that apply until a configuration has been read. */
	public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(5),
			Duration.ofSeconds(15));

}
