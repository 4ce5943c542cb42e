package org.wigeonglade.entry.batch;

import java.util.Objects;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.error.RanState;

/**
 * Response to a keyed request, as it is stored in the log.
 *
 * @param ran {@link RanState#RAN} stores the response; {@link RanState#NOT_RUN} frees the
 * key, so that the client may send the request again; with {@link RanState#UNKNOWN} every
 * repetition of the request is answered with {@code unknown}
 * @param httpStatus the status that was sent to the client
 * @param contentType the content type, not null, may be empty
 * @param body the complete body, not null
 */
public record KeyedAnswer(RanState ran, int httpStatus, String contentType, ByteString body) {

	/**
	 * Creates a response.
	 */
	public KeyedAnswer {
		Objects.requireNonNull(ran, "ran");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

}
