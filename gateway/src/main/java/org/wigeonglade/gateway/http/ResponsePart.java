package org.wigeonglade.gateway.http;

import io.netty.handler.codec.http.HttpResponse;

/**
 * What a {@link ResponseParser} finds next in the bytes of a connection.
 */
sealed interface ResponsePart {

	/**
	 * The end of the bytes, within a response or between two.
	 */
	record Incomplete() implements ResponsePart {

	}

	/**
	 * A complete head. An interim head (1xx) is followed by another head, any other one
	 * by the body and its end.
	 *
	 * @param response the status and the headers, not null
	 * @param lengthUnknown whether the head states no length of a body that it may have,
	 * so that only the end of the connection would mark its end
	 */
	record Head(HttpResponse response, boolean lengthUnknown) implements ResponsePart {

	}

	/**
	 * A part of a body.
	 *
	 * @param bytes the bytes without the framing of chunks, not empty
	 */
	record Body(byte[] bytes) implements ResponsePart {

	}

	/**
	 * The end of a response, at its last byte.
	 */
	record End() implements ResponsePart {

	}

	/**
	 * Bytes that are no response. Nothing that follows can be attributed to one.
	 *
	 * @param kind the part of the response that is malformed, not null
	 * @param reason what was found, for the log, not null
	 * @param excerpt the first bytes of that part, for the log, not null
	 */
	record Malformed(ResponseFault.Kind kind, String reason, String excerpt) implements ResponsePart {

	}

}
