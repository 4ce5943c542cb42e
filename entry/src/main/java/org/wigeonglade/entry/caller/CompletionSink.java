package org.wigeonglade.entry.caller;

import io.vertx.core.http.HttpServerResponse;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.entry.completion.CompletionResponseWriter;
import org.wigeonglade.entry.online.OnlineRequest;
import org.wigeonglade.entry.online.StreamHandle;
import org.wigeonglade.entry.online.StreamSink;

/**
 * Sink that writes a completion to the HTTP response, either as server-sent events or as
 * one JSON body. A stream that fails after the head was written ends with an error event
 * and without the {@code [DONE]} event.
 */
final class CompletionSink implements StreamSink {

	private final HttpServerResponse response;

	private final CompletionResponseWriter writer;

	private final String requestId;

	private final RequestObserver observer;

	private final StringBuilder text;

	private StreamHandle handle;

	CompletionSink(HttpServerResponse response, CompletionResponseWriter writer, OnlineRequest request, boolean stream,
			RequestObserver observer) {
		this.response = response;
		this.writer = writer;
		this.requestId = request.id().value();
		this.observer = observer;
		this.text = stream ? null : new StringBuilder();
	}

	void setHandle(StreamHandle newHandle) {
		this.handle = newHandle;
	}

	void clientDisconnected() {
		this.observer.recordDisconnect();
	}

	@Override
	public void onToken(EngineEvent.Token token) {
		this.observer.recordToken();
		if (this.text != null) {
			this.text.append(token.text());
			return;
		}
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		writeHeadOnce();
		this.response.write(this.writer.chunk(token.text()));
		if (this.response.writeQueueFull() && this.handle != null) {
			this.handle.pause();
			this.response.drainHandler((ignored) -> this.handle.resume());
		}
	}

	@Override
	public void onEnd(EngineEvent.End end) {
		this.observer.recordCompletion();
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		if (this.text != null) {
			this.response.putHeader("Content-Type", "application/json")
				.end(this.writer.completeResponse(this.text.toString(), end));
			return;
		}
		writeHeadOnce();
		this.response.end(this.writer.finalEvents(end));
	}

	@Override
	public void onFailure(WigeongladeException failure) {
		this.observer.recordFailure(failure);
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		if (this.response.headWritten()) {
			this.response.end(CompletionResponseWriter.error(ErrorBody.toJson(failure, this.requestId)));
			return;
		}
		ErrorBody.send(this.response, failure, this.requestId);
	}

	private void writeHeadOnce() {
		if (!this.response.headWritten()) {
			this.response.setChunked(true)
				.putHeader("Content-Type", "text/event-stream")
				.putHeader("Cache-Control", "no-store");
		}
	}

}
