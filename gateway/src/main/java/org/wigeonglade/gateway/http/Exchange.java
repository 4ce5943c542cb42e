package org.wigeonglade.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request on a client connection and the receiver of its answer. The methods are
 * called on the event loop.
 */
public interface Exchange {

	/**
	 * Returns whether a head belongs to this request. The answer to another request is
	 * read and dropped.
	 * @param response the head, not null
	 * @return true if it does
	 */
	boolean accepts(HttpResponse response);

	/**
	 * Receives the head of the answer.
	 * @param response the head, not null
	 */
	void head(HttpResponse response);

	/**
	 * Receives bytes of the body.
	 * @param bytes the bytes, not null
	 */
	void content(byte[] bytes);

	/**
	 * Is told that the answer is complete.
	 */
	void end();

	/**
	 * Is told that the answer will not become complete.
	 * @param reason what happened, in plain words
	 */
	void failed(String reason);

	/**
	 * Builds the head of the request.
	 * @return the head, never null
	 */
	HttpRequest request();

	/**
	 * Returns the body of the request.
	 * @return the body, empty if there is none
	 */
	byte[] body();

}
