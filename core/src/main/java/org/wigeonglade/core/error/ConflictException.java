package org.wigeonglade.core.error;

/**
 * Thrown when another writer has taken the same version, term or key first.
 */
public class ConflictException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates a failure.
	 * @param code the stable code, not null
	 * @param message what happened and what is allowed, not null
	 */
	public ConflictException(ErrorCode code, String message) {
		super(code, ExecutionState.NOT_RUN, message, null);
	}

	/**
	 * Creates a failure with its cause.
	 * @param code the stable code, not null
	 * @param message what happened and what is allowed, not null
	 * @param cause the cause, or null
	 */
	public ConflictException(ErrorCode code, String message, Throwable cause) {
		super(code, ExecutionState.NOT_RUN, message, cause);
	}

}
