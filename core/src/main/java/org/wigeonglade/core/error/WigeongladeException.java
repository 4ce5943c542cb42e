package org.wigeonglade.core.error;

import java.util.Objects;

/**
 * Base of all exceptions of the system, with a stable error code and the execution state
 * of the work.
 */
public abstract class WigeongladeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorCode code;

	private final RanState ran;

	/**
	 * Creates a failure.
	 * @param code the stable code, not null
	 * @param ran whether the work was executed, not null
	 * @param message what happened and what is allowed, not null
	 * @param cause the cause, or null
	 */
	protected WigeongladeException(ErrorCode code, RanState ran, String message, Throwable cause) {
		super(Objects.requireNonNull(message, "message"), cause);
		this.code = Objects.requireNonNull(code, "code");
		this.ran = Objects.requireNonNull(ran, "ran");
	}

	/**
	 * Returns the stable code.
	 * @return the code, never null
	 */
	public ErrorCode getCode() {
		return this.code;
	}

	/**
	 * Returns whether the work was executed.
	 * @return the state, never null
	 */
	public RanState getRan() {
		return this.ran;
	}

}
