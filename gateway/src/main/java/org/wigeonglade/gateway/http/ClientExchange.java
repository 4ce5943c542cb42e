package org.wigeonglade.gateway.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request on a client connection and the listener to its response. The methods are
 * called on the event loop.
 */
public interface ClientExchange {

	/**
	 * Returns whether a response belongs to this request. Other responses are skipped.
	 * @param response the head of the response, not null
	 * @return true if the response belongs to this request
	 */
	boolean matches(HttpResponse response);

	/**
	 * Called when a response to another request is skipped.
	 * @param response the head of the skipped response, not null
	 */
	void skipped(HttpResponse response);

	/**
	 * Returns why a head allows more than one reading. Such a response is passed to
	 * nobody and closes the connection.
	 * @param response the head of the response, not null
	 * @return a description for the log, empty if the head is sound
	 */
	default Optional<String> findFault(HttpResponse response) {
		return Optional.empty();
	}

	/**
	 * Called when the head of the response was received.
	 * @param response the head, not null
	 */
	void head(HttpResponse response);

	/**
	 * Called for each part of the body.
	 * @param bytes the bytes, not null
	 */
	void content(byte[] bytes);

	/**
	 * Called when the response is complete.
	 */
	void end();

	/**
	 * Called when the connection failed before the response was complete.
	 * @param reason a description for the log, not null
	 */
	void failed(String reason);

	/**
	 * Called when the connection was closed because the bytes that were received are no
	 * response to this request.
	 * @param reason a description for the log, not null
	 */
	default void malformed(String reason) {
		failed(reason);
	}

	/**
	 * Creates the head of the request.
	 * @return the head, never null
	 */
	HttpRequest request();

	/**
	 * Returns the body of the request.
	 * @return the body, empty if there is none
	 */
	byte[] body();

	/**
	 * Returns the id that the response repeats, for the log.
	 * @return the id, empty if the request has none
	 */
	default Optional<String> requestId() {
		return Optional.empty();
	}

}
