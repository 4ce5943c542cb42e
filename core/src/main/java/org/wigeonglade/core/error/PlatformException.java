package org.wigeonglade.core.error;

/**
 * Signals that an operation of the platform failed. The code tells whether it may have
 * taken effect: {@link ErrorCode#PLATFORM_UNAVAILABLE} certainly not,
 * {@link ErrorCode#PLATFORM_UNKNOWN} possibly.
 */
public class PlatformException extends WigeongladeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates a failure of the platform.
	 * @param code the stable code, not null
	 * @param message what happened, not null
	 * @param cause the cause, or null
	 */
	public PlatformException(ErrorCode code, String message, Throwable cause) {
		super(code, (code == ErrorCode.PLATFORM_UNKNOWN) ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN, message,
				cause);
	}

	/**
	 * Returns whether the operation may have taken effect.
	 * @return true if a read must decide
	 */
	public boolean isUnknown() {
		return getCode() == ErrorCode.PLATFORM_UNKNOWN;
	}

}
