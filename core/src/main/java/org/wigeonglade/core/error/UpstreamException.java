package org.wigeonglade.core.error;

/**
 * Thrown when an upstream fails, loses its connection or rejects its work.
 */
public class UpstreamException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	private final boolean connectionLost;

	/**
	 * Creates a failure of an upstream.
	 * @param code the stable code, not null
	 * @param executionState whether the work was executed, not null
	 * @param connectionLost whether the connection was lost during the work
	 * @param message what happened, not null
	 * @param cause the cause, or null
	 */
	public UpstreamException(ErrorCode code, ExecutionState executionState, boolean connectionLost, String message,
			Throwable cause) {
		super(code, executionState, message, cause);
		this.connectionLost = connectionLost;
	}

	/**
	 * Returns this failure with the execution state of all attempts at the work.
	 * @param earlier the combined state of the earlier attempts, not null
	 * @return this failure if they do not change its state, otherwise a copy
	 */
	public UpstreamException withEarlierAttempts(ExecutionState earlier) {
		ExecutionState all = getExecutionState().combine(earlier);
		return (all == getExecutionState()) ? this : new UpstreamException(getCode(), all, this.connectionLost,
				getMessage() + "; an earlier attempt was lost", this);
	}

	/**
	 * Returns whether the connection was lost during the work.
	 * @return true if the upstream may have crashed
	 */
	public boolean isConnectionLost() {
		return this.connectionLost;
	}

}
