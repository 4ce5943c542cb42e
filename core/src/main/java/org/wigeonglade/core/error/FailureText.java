package org.wigeonglade.core.error;

/**
 * Describes failures for the log.
 */
public final class FailureText {

	private FailureText() {
	}

	/**
	 * Returns the message of a failure, or the simple name of its class if it has none. A
	 * failure that only wraps another one is described by that one.
	 * @param failure the failure, not null
	 * @return the description, never null
	 */
	public static String of(Throwable failure) {
		Throwable described = failure;
		while (wrapsOnly(described)) {
			described = described.getCause();
		}
		String message = described.getMessage();
		return (message != null) ? message : described.getClass().getSimpleName();
	}

	// The constructors that take only a cause set its description as the message.
	private static boolean wrapsOnly(Throwable failure) {
		Throwable cause = failure.getCause();
		return cause != null && (failure.getMessage() == null || failure.getMessage().equals(cause.toString()));
	}

}
