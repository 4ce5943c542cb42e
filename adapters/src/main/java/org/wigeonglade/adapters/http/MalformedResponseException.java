package org.wigeonglade.adapters.http;

/**
 * Thrown when a server sends bytes that are not the response to the request in progress.
 * The connection was closed and none of the bytes were passed on.
 */
public class MalformedResponseException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates a failure.
	 * @param message what was found, not null
	 */
	public MalformedResponseException(String message) {
		super(message);
	}

}
