package org.wigeonglade.entry.batch;

import java.util.Objects;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.error.ExecutionState;

/**
 * Response to a keyed request, as it is stored in the log.
 *
 * @param executionState {@link ExecutionState#RAN} stores the response;
 * {@link ExecutionState#NOT_RUN} frees the key, so that the client may send the request
 * again; with {@link ExecutionState#UNKNOWN} every repetition of the request is answered
 * with {@code unknown}
 * @param httpStatus the status that was sent to the client
 * @param contentType the content type, not null, may be empty
 * @param body the complete body, not null
 */
public record KeyedResponse(ExecutionState executionState, int httpStatus, String contentType, ByteString body) {

	/**
	 * Creates a response.
	 */
	public KeyedResponse {
		Objects.requireNonNull(executionState, "executionState");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

}
