package org.wigeonglade.entry.caller;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.error.WigeongladeException;

/**
 * Writes failures as the error body of the callers' interface.
 */
final class ErrorBody {

	/** Delay told to callers when nothing better is known, in seconds. */
	private static final long DEFAULT_RETRY_SECONDS = 1;

	private ErrorBody() {
	}

	static JsonObject of(WigeongladeException failure, String requestId) {
		JsonObject error = new JsonObject().put("code", failure.getCode().getCode())
			.put("message", failure.getMessage())
			.put("ran", failure.getExecutionState().getText())
			.put("request_id", requestId);
		return new JsonObject().put("error", error);
	}

	static WigeongladeException wrap(Throwable failure) {
		return (failure instanceof WigeongladeException known) ? known : new UpstreamException(ErrorCode.INTERNAL,
				ExecutionState.UNKNOWN, false, "unexpected failure inside the system", failure);
	}

	static Optional<Long> retryAfterSeconds(WigeongladeException failure) {
		if (failure instanceof RefusedException refused) {
			return refused.getRetryAfter().map(ErrorBody::toSeconds);
		}
		return (failure.getCode().getHttpStatus() == 503) ? Optional.of(DEFAULT_RETRY_SECONDS) : Optional.empty();
	}

	static void send(HttpServerResponse response, WigeongladeException failure, String requestId) {
		if (response.ended() || response.closed()) {
			return;
		}
		retryAfterSeconds(failure).ifPresent((seconds) -> response.putHeader("Retry-After", Long.toString(seconds)));
		response.setStatusCode(failure.getCode().getHttpStatus())
			.putHeader("Content-Type", "application/json")
			.end(of(failure, requestId).toBuffer());
	}

	private static long toSeconds(Duration delay) {
		return Math.max(1, (delay.toMillis() + 999) / 1000);
	}

}
