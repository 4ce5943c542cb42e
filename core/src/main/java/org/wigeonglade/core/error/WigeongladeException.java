package org.wigeonglade.core.error;

import java.util.Objects;

/**
 * Base of all exceptions of the system, with a stable error code and the execution state
 * of the work.
 */
public abstract class WigeongladeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorCode code;

	private final ExecutionState executionState;

	/**
	 * Creates a failure.
	 * @param code the stable code, not null
	 * @param executionState whether the work was executed, not null
	 * @param message what happened and what is allowed, not null
	 * @param cause the cause, or null
	 */
	protected WigeongladeException(ErrorCode code, ExecutionState executionState, String message, Throwable cause) {
		super(Objects.requireNonNull(message, "message"), cause);
		this.code = Objects.requireNonNull(code, "code");
		this.executionState = Objects.requireNonNull(executionState, "executionState");
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
	public ExecutionState getExecutionState() {
		return this.executionState;
	}

}
