package org.wigeonglade.core.error;

/**
 * Signals that an upstream failed, was lost or rejected its work.
 */
public class UpstreamException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	private final boolean crashed;

	/**
	 * Creates a failure of an upstream.
	 * @param code the stable code, not null
	 * @param ran whether the work ran, not null
	 * @param crashed whether the connection to the upstream was lost
	 * @param message what happened, not null
	 * @param cause the cause, or null
	 */
	public UpstreamException(ErrorCode code, RanState ran, boolean crashed, String message, Throwable cause) {
		super(code, ran, message, cause);
		this.crashed = crashed;
	}

	/**
	 * Returns this failure as the outcome of several attempts.
	 * @param earlier whether one of the earlier attempts ran, not null
	 * @return this failure, or one that does not claim that nothing ran
	 */
	public UpstreamException plusEarlier(RanState earlier) {
		RanState all = getRan().plus(earlier);
		return (all == getRan()) ? this : new UpstreamException(getCode(), all, this.crashed,
				getMessage() + "; an earlier attempt was lost", this);
	}

	/**
	 * Returns whether the connection to the upstream was lost during the work.
	 * @return true if the upstream may have crashed
	 */
	public boolean isCrashed() {
		return this.crashed;
	}

}
