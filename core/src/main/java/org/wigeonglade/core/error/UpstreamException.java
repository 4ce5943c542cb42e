package org.wigeonglade.core.error;

/**
 * Signals that an upstream failed, was lost or rejected its work.
 */
public class UpstreamException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	private final boolean connectionLost;

	/**
	 * Creates a failure of an upstream.
	 * @param code the stable code, not null
	 * @param executionState whether the work ran, not null
	 * @param connectionLost whether the connection to the upstream was lost
	 * @param message what happened, not null
	 * @param cause the cause, or null
	 */
	public UpstreamException(ErrorCode code, ExecutionState executionState, boolean connectionLost, String message,
			Throwable cause) {
		super(code, executionState, message, cause);
		this.connectionLost = connectionLost;
	}

	/**
	 * Returns this failure as the outcome of several attempts.
	 * @param earlier whether one of the earlier attempts ran, not null
	 * @return this failure, or one that does not claim that nothing ran
	 */
	public UpstreamException withEarlierAttempts(ExecutionState earlier) {
		ExecutionState all = getExecutionState().combine(earlier);
		return (all == getExecutionState()) ? this : new UpstreamException(getCode(), all, this.connectionLost,
				getMessage() + "; an earlier attempt was lost", this);
	}

	/**
	 * Returns whether the connection to the upstream was lost during the work.
	 * @return true if the upstream may have crashed
	 */
	public boolean isConnectionLost() {
		return this.connectionLost;
	}

}
