package org.wigeonglade.gateway.http;

/**
 * Why a connection carries no further bytes of a response. A response without a length
 * ends with its connection, and is complete only if the server ended it in order after it
 * could have read the request.
 */
enum ConnectionEnd {

	/** The end of the stream was read after the request had been written whole. */
	AFTER_REQUEST("the connection was closed"),

	/** The end of the stream was read while the request was being written. */
	WITHIN_REQUEST("the connection was closed before the request was written whole,"),

	/** The connection was reset, a write failed, or this side closed it. */
	ABORTED("the connection was aborted");

	private final String description;

	ConnectionEnd(String description) {
		this.description = description;
	}

	/**
	 * Returns whether a response may end with the connection.
	 * @return true if the connection ended in order after the request
	 */
	boolean isEndOfResponse() {
		return this == AFTER_REQUEST;
	}

	/**
	 * Returns the beginning of a description for the log, which the position in the
	 * response follows.
	 * @return the text, never null
	 */
	String getDescription() {
		return this.description;
	}

}
