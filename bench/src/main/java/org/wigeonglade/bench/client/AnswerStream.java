package org.wigeonglade.bench.client;

import java.time.Duration;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.codec.BodyCodec;
import io.vertx.ext.web.codec.SseEvent;
import io.vertx.ext.web.codec.spi.BodyStream;

/**
 * Reads the answer of one completion request. Thread-safe.
 */
public final class AnswerStream {

	private static final int OK = 200;

	private final Vertx vertx;

	private final long timer;

	private final Promise<Answer> promise = Promise.promise();

	private final long sentNanos = System.nanoTime();

	private final StringBuilder text = new StringBuilder();

	private HttpClientRequest request;

	private int status;

	private int tokens;

	private boolean complete;

	private String errorCode = "";

	private String ran = "";

	private String requestId = "";

	private long firstTokenNanos;

	private long lastTokenNanos;

	private long maxGapNanos;

	private boolean ended;

	AnswerStream(Vertx vertx, Duration timeout) {
		this.vertx = vertx;
		this.timer = vertx.setTimer(Math.max(1, timeout.toMillis()), (id) -> fail("client_timeout", ""));
	}

	/**
	 * Returns the answer.
	 * @return a future that never fails
	 */
	public Future<Answer> answer() {
		return this.promise.future();
	}

	/**
	 * Returns the number of tokens received so far.
	 * @return the number
	 */
	public synchronized int getTokens() {
		return this.tokens;
	}

	/**
	 * Closes the connection before the answer is complete.
	 */
	public void cancel() {
		fail("client_cancelled", "");
	}

	synchronized void write(HttpClientRequest opened, Buffer body) {
		if (this.ended) {
			opened.reset();
			return;
		}
		this.request = opened;
		// Failures arrive through the response; without a handler Vert.x logs them.
		opened.exceptionHandler((ignored) -> {
		});
		opened.response().onSuccess(this::read).onFailure((cause) -> fail("connection_lost", ""));
		opened.end(body);
	}

	void failUnsent(Throwable cause) {
		fail("unreachable", "not_run");
	}

	private synchronized void read(HttpClientResponse response) {
		response.exceptionHandler((cause) -> fail("connection_lost", ""));
		this.status = response.statusCode();
		String id = response.getHeader("x-request-id");
		this.requestId = (id != null) ? id : "";
		if (this.status != OK) {
			response.body().onSuccess(this::readError).onFailure((cause) -> fail("connection_lost", ""));
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
		if (data.equals("[DONE]")) {
			this.complete = true;
			return;
		}
		try {
			JsonObject chunk = new JsonObject(data);
			if (chunk.containsKey("error")) {
				acceptError(chunk);
				return;
			}
			JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
			String token = (choices.isEmpty()) ? "" : choices.getJsonObject(0).getString("text", "");
			if (!token.isEmpty()) {
				acceptToken(token);
			}
		}
		catch (DecodeException | ClassCastException ex) {
			this.errorCode = "malformed_event";
		}
	}

	private void acceptToken(String token) {
		long now = System.nanoTime();
		if (this.tokens == 0) {
			this.firstTokenNanos = now;
		}
		else {
			this.maxGapNanos = Math.max(this.maxGapNanos, now - this.lastTokenNanos);
		}
		this.lastTokenNanos = now;
		this.tokens++;
		this.text.append(token);
	}

	private synchronized void readError(Buffer body) {
		try {
			acceptError(body.toJsonObject());
		}
		catch (DecodeException | ClassCastException ex) {
			this.errorCode = "malformed_error";
		}
		end();
	}

	private void acceptError(JsonObject body) {
		JsonObject error = body.getJsonObject("error", new JsonObject());
		this.errorCode = error.getString("code", "error_without_code");
		this.ran = error.getString("ran", "");
		this.requestId = error.getString("request_id", this.requestId);
	}

	private synchronized void end() {
		if (this.ended) {
			return;
		}
		if (!this.complete && this.errorCode.isEmpty()) {
			this.errorCode = "stream_incomplete";
		}
		finish();
	}

	private synchronized void fail(String code, String ranState) {
		if (this.ended) {
			return;
		}
		this.errorCode = code;
		this.ran = ranState;
		finish();
		if (this.request != null) {
			this.request.reset();
		}
	}

	private void finish() {
		this.ended = true;
		this.vertx.cancelTimer(this.timer);
		this.promise.tryComplete(
				new Answer(this.status, this.text.toString(), this.tokens, this.complete, this.errorCode, this.ran,
						this.requestId, this.sentNanos, this.firstTokenNanos, System.nanoTime(), this.maxGapNanos));
	}

}
