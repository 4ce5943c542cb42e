package org.wigeonglade.core.error;

/**
 * Thrown when an operation of the platform fails. With
 * {@link ErrorCode#PLATFORM_UNAVAILABLE} the operation was not applied, with
 * {@link ErrorCode#PLATFORM_UNKNOWN} it may have been.
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
	 * Returns whether the operation may have been applied.
	 * @return true if only a read can determine whether it was
	 */
	public boolean isUnknown() {
		return getCode() == ErrorCode.PLATFORM_UNKNOWN;
	}

}
