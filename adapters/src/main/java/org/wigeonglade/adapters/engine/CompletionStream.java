package org.wigeonglade.adapters.engine;

import java.util.Objects;

import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.codec.BodyCodec;
import io.vertx.ext.web.codec.SseEvent;
import io.vertx.ext.web.codec.spi.BodyStream;
import org.wigeonglade.adapters.http.MalformedResponseException;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;

/**
 * Reads the server-sent events of a completion and emits its tokens. Methods are
 * serialised by a lock, because the stream may be cancelled from another thread.
 */
final class CompletionStream {

	private static final String END_MARKER = "[DONE]";

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int UNPROCESSABLE_CONTENT = 422;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final MultiEmitter<? super EngineEvent> emitter;

	private final String address;

	private final EngineRequest request;

	private HttpClientRequest httpRequest;

	private int nextTokenIndex;

	private String finishReason;

	private int promptTokens;

	private boolean endMarkerSeen;

	private boolean ended;

	CompletionStream(MultiEmitter<? super EngineEvent> emitter, String address, EngineRequest request) {
		this.emitter = emitter;
		this.address = address;
		this.request = request;
		this.nextTokenIndex = request.resumeTokens().size();
	}

	static UpstreamException failureForStatus(int status, String message) {
		return switch (status) {
			case BAD_REQUEST, NOT_FOUND, CONTENT_TOO_LARGE, UNPROCESSABLE_CONTENT ->
				new UpstreamException(ErrorCode.UPSTREAM_REJECTED, ExecutionState.NOT_RUN, false, message, null);
			case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE ->
				new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.NOT_RUN, false, message, null);
			default -> new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.UNKNOWN, false, message, null);
		};
	}

	synchronized void write(HttpClientRequest opened, Buffer body) {
		// Failures are reported by the response; without this handler Vert.x logs them
		// too.
		opened.exceptionHandler((ignored) -> {
		});
		if (this.ended) {
			opened.reset();
			return;
		}
		this.httpRequest = opened;
		opened.response().onSuccess(this::read).onFailure(this::failConnectionLost);
		// The response does not fail if the connection was closed before the request was
		// opened; the write does.
		opened.end(body).onFailure(this::failWrite);
	}

	synchronized void failNotSent(Throwable cause) {
		fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.NOT_RUN, false,
				"no connection to the engine at " + this.address + ": " + cause.getMessage(), cause));
	}

	synchronized void close() {
		if (!this.ended) {
			this.ended = true;
			abort();
		}
	}

	private synchronized void read(HttpClientResponse response) {
		response.exceptionHandler(this::failConnectionLost);
		if (response.statusCode() != OK) {
			fail(failureForStatus(response.statusCode(),
					"the engine at " + this.address + " answered with status " + response.statusCode()));
			return;
		}
		BodyStream<Void> events = openEvents();
		response.handler(events::write);
		response.endHandler((ignored) -> {
			events.end();
			end();
		});
	}

	private BodyStream<Void> openEvents() {
		try {
			return BodyCodec.sseStream((stream) -> stream.handler(this::accept)).stream();
		}
		catch (Exception ex) {
			throw new IllegalStateException("the event parser cannot be opened", ex);
		}
	}

	private synchronized void accept(SseEvent event) {
		if (this.ended || event.data() == null) {
			return;
		}
		String data = event.data().strip();
		try {
			if (this.endMarkerSeen) {
				throw new IllegalArgumentException("event after the end marker");
			}
			if (data.equals(END_MARKER)) {
				this.endMarkerSeen = true;
			}
			else {
				acceptChunk(new JsonObject(data));
			}
		}
		catch (RuntimeException ex) {
			fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED, executionState(), false,
					"the engine at " + this.address + " sent a malformed event", ex));
		}
	}

	private void acceptChunk(JsonObject chunk) {
		JsonObject usage = chunk.getJsonObject("usage");
		if (usage != null) {
			this.promptTokens = usage.getInteger("prompt_tokens", 0);
		}
		JsonArray choices = chunk.getJsonArray("choices");
		if (choices == null || choices.isEmpty()) {
			if (usage == null) {
				throw new IllegalArgumentException("event without choices and usage");
			}
			return;
		}
		JsonObject choice = choices.getJsonObject(0);
		String text = choice.getString("text", "");
		if (!text.isEmpty()) {
			acceptToken(text, Objects.requireNonNullElse(chunk.getString("system_fingerprint"), ""));
		}
		this.finishReason = choice.getString("finish_reason", this.finishReason);
	}

	private void acceptToken(String text, String version) {
		if (this.nextTokenIndex >= this.request.maxTokens()) {
			throw new IllegalArgumentException("more than " + this.request.maxTokens() + " tokens");
		}
		this.emitter.emit(new EngineEvent.Token(this.nextTokenIndex, text, version));
		this.nextTokenIndex++;
	}

	/**
	 * Ends the stream when its response has ended. The end marker alone is not enough,
	 * because the rest of the response may be missing.
	 */
	private synchronized void end() {
		if (this.ended) {
			return;
		}
		if (!this.endMarkerSeen || this.finishReason == null) {
			failIncomplete();
			return;
		}
		this.ended = true;
		this.emitter.emit(new EngineEvent.End(this.finishReason, this.promptTokens, this.nextTokenIndex));
		this.emitter.complete();
	}

	private void failIncomplete() {
		fail(new UpstreamException(ErrorCode.STREAM_INCOMPLETE, executionState(), false,
				"the engine at " + this.address + " ended the stream without its end mark", null));
	}

	private synchronized void failConnectionLost(Throwable cause) {
		boolean lost = !(cause instanceof MalformedResponseException);
		fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED, executionState(), lost,
				"the connection to the engine at " + this.address + " was lost: " + cause.getMessage(), cause));
	}

	private synchronized void failWrite(Throwable cause) {
		fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED, executionState(), true,
				"the request to the engine at " + this.address + " could not be written", cause));
	}

	private ExecutionState executionState() {
		return (this.nextTokenIndex > this.request.resumeTokens().size()) ? ExecutionState.RAN : ExecutionState.UNKNOWN;
	}

	private void fail(UpstreamException failure) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		abort();
		this.emitter.fail(failure);
	}

	private void abort() {
		if (this.httpRequest != null) {
			this.httpRequest.reset();
		}
	}

}
