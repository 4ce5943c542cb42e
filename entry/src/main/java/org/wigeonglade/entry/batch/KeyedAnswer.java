package org.wigeonglade.entry.batch;

import java.util.Objects;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.error.ExecutionState;

/**
 * Holds the answer of a keyed request as it is stored.
 *
 * @param ran {@link ExecutionState#RAN} stores the answer; {@link ExecutionState#NOT_RUN}
 * frees the key, so that the client may resend; {@link ExecutionState#UNKNOWN} makes
 * every resend be told {@code unknown}
 * @param httpStatus the status that the client got
 * @param contentType the content type, may be empty
 * @param body the whole body, not null
 */
public record KeyedAnswer(ExecutionState ran, int httpStatus, String contentType, ByteString body) {

	/**
	 * Creates the answer.
	 */
	public KeyedAnswer {
		Objects.requireNonNull(ran, "ran");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

}
