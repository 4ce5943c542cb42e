package org.wigeonglade.core.error;

import java.time.Duration;
import java.util.Optional;

/**
 * Thrown when work is refused before any byte of it has been sent to an upstream.
 */
public class RefusedException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	private final Duration retryAfter;

	/**
	 * Creates a refusal.
	 * @param code the stable code, not null
	 * @param message the reason, not null
	 * @param retryAfter the delay before a retry, or null if a retry cannot succeed
	 */
	public RefusedException(ErrorCode code, String message, Duration retryAfter) {
		super(code, ExecutionState.NOT_RUN, message, null);
		this.retryAfter = retryAfter;
	}

	/**
	 * Returns the delay before a retry.
	 * @return the delay, empty if a retry cannot succeed
	 */
	public Optional<Duration> getRetryAfter() {
		return Optional.ofNullable(this.retryAfter);
	}

}
