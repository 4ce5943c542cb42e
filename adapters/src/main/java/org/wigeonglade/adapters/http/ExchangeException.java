package org.wigeonglade.adapters.http;

/**
 * Thrown when no complete response was received. Each client converts it to its own
 * exception.
 */
public class ExchangeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final boolean written;

	private final boolean timedOut;

	/**
	 * Creates a failure.
	 * @param written whether a byte of the request may have been written
	 * @param timedOut whether the time limit was reached
	 * @param message what happened, not null
	 * @param cause the cause, or null
	 */
	public ExchangeException(boolean written, boolean timedOut, String message, Throwable cause) {
		super((cause != null) ? message + ": " + cause.getMessage() : message, cause);
		this.written = written;
		this.timedOut = timedOut;
	}

	/**
	 * Returns whether a byte of the request may have been written.
	 * @return false if the server cannot have received any of it
	 */
	public boolean isWritten() {
		return this.written;
	}

	/**
	 * Returns whether the time limit was reached.
	 * @return false if the connection failed before
	 */
	public boolean isTimedOut() {
		return this.timedOut;
	}

	/**
	 * Returns whether the connection was lost with a request in progress.
	 * @return false if the time limit was reached, nothing was written or this side
	 * closed the connection because of a malformed response
	 */
	public boolean isConnectionLost() {
		return this.written && !this.timedOut && !(getCause() instanceof MalformedResponseException);
	}

}
