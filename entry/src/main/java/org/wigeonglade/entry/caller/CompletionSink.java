package org.wigeonglade.entry.caller;

import io.vertx.core.http.HttpServerResponse;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.entry.completion.CompletionResponseWriter;
import org.wigeonglade.entry.online.OnlineRequest;
import org.wigeonglade.entry.online.StreamHandle;
import org.wigeonglade.entry.online.StreamSink;

/**
 * Writes one answer to its caller, streamed or whole. A stream that fails after its first
 * byte ends with an error event and without the {@code [DONE]} mark.
 */
final class CompletionSink implements StreamSink {

	private final HttpServerResponse response;

	private final CompletionResponseWriter json;

	private final String requestId;

	private final RequestObserver observer;

	private final StringBuilder text;

	private StreamHandle handle;

	CompletionSink(HttpServerResponse response, CompletionResponseWriter json, OnlineRequest request, boolean stream,
			RequestObserver observer) {
		this.response = response;
		this.json = json;
		this.requestId = request.id().value();
		this.observer = observer;
		this.text = stream ? null : new StringBuilder();
	}

	void attach(StreamHandle control) {
		this.handle = control;
	}

	void clientGone() {
		this.observer.clientGone();
	}

	@Override
	public void onToken(EngineEvent.Token token) {
		this.observer.token();
		if (this.text != null) {
			this.text.append(token.text());
			return;
		}
		if (this.response.closed()) {
			return;
		}
		begin();
		this.response.write(this.json.chunk(token.text()));
		if (this.response.writeQueueFull() && this.handle != null) {
			this.handle.pause();
			this.response.drainHandler((ignored) -> this.handle.resume());
		}
	}

	@Override
	public void onEnd(EngineEvent.End end) {
		this.observer.completed();
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		if (this.text != null) {
			this.response.putHeader("Content-Type", "application/json")
				.end(this.json.completeResponse(this.text.toString(), end));
			return;
		}
		begin();
		this.response.end(this.json.finalEvents(end));
	}

	@Override
	public void onFailure(WigeongladeException failure) {
		this.observer.failed(failure);
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		if (this.response.headWritten()) {
			this.response.end(CompletionResponseWriter.error(ErrorBody.of(failure, this.requestId)));
			return;
		}
		ErrorBody.send(this.response, failure, this.requestId);
	}

	private void begin() {
		if (!this.response.headWritten()) {
			this.response.setChunked(true)
				.putHeader("Content-Type", "text/event-stream")
				.putHeader("Cache-Control", "no-store");
		}
	}

}
