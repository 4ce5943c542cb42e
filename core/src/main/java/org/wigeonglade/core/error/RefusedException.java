package org.wigeonglade.core.error;

import java.time.Duration;
import java.util.Optional;

/**
 * Signals that work was refused before any byte of it reached an upstream.
 */
public class RefusedException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	private final Duration retryAfter;

	/**
	 * Creates a refusal.
	 * @param code the stable code, not null
	 * @param message the reason, not null
	 * @param retryAfter when the client may come back, or null if a retry cannot help
	 */
	public RefusedException(ErrorCode code, String message, Duration retryAfter) {
		super(code, ExecutionState.NOT_RUN, message, null);
		this.retryAfter = retryAfter;
	}

	/**
	 * Returns when the client may come back.
	 * @return the delay, empty if a retry cannot help
	 */
	public Optional<Duration> getRetryAfter() {
		return Optional.ofNullable(this.retryAfter);
	}

}
