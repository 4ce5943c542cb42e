package org.wigeonglade.adapters.http;

/**
 * Signals that an exchange got no whole response. Adapters translate it to their typed
 * failure.
 */
public class ExchangeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final boolean written;

	private final boolean timedOut;

	/**
	 * Creates a failure.
	 * @param written whether a byte of the request may have been written
	 * @param timedOut whether the time ran out
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
	 * @return false if the other side certainly did not see the request
	 */
	public boolean isWritten() {
		return this.written;
	}

	/**
	 * Returns whether the time ran out.
	 * @return false if the connection failed
	 */
	public boolean isTimedOut() {
		return this.timedOut;
	}

}
