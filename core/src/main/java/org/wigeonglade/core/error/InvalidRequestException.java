package org.wigeonglade.core.error;

/**
 * Thrown when a request, argument or file is invalid; no work was executed.
 */
public class InvalidRequestException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates a failure.
	 * @param code the stable code, not null
	 * @param message what happened and what is allowed, not null
	 */
	public InvalidRequestException(ErrorCode code, String message) {
		super(code, ExecutionState.NOT_RUN, message, null);
	}

	/**
	 * Creates a failure with its cause.
	 * @param code the stable code, not null
	 * @param message what happened and what is allowed, not null
	 * @param cause the cause, or null
	 */
	public InvalidRequestException(ErrorCode code, String message, Throwable cause) {
		super(code, ExecutionState.NOT_RUN, message, cause);
	}

}
