package org.wigeonglade.standins.engine;

import java.util.List;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Response of one completion request, written as server-sent events in the format of the
 * OpenAI completions API. Not thread-safe.
 */
final class EngineStream {

	private final String requestId;

	private final String model;

	private final String version;

	private final String prompt;

	private final int maxTokens;

	private final int resumeFrom;

	private final List<String> tokens;

	private final HttpServerResponse response;

	private int nextToken;

	private long readyNanos;

	private boolean done;

	EngineStream(String requestId, String model, String version, String prompt, int maxTokens, int resumeFrom,
			HttpServerResponse response) {
		this.requestId = requestId;
		this.model = model;
		this.version = version;
		this.prompt = prompt;
		this.maxTokens = maxTokens;
		this.resumeFrom = resumeFrom;
		this.nextToken = resumeFrom;
		this.tokens = CompletionText.tokens(prompt, maxTokens);
		this.response = response;
	}

	String getRequestId() {
		return this.requestId;
	}

	String getPrompt() {
		return this.prompt;
	}

	int getWritten() {
		return this.nextToken - this.resumeFrom;
	}

	int getResumeFrom() {
		return this.resumeFrom;
	}

	boolean isDone() {
		return this.done;
	}

	HttpServerResponse getResponse() {
		return this.response;
	}

	void setReadyNanos(long readyNanos) {
		this.readyNanos = readyNanos;
	}

	void open() {
		this.response.setChunked(true).putHeader("content-type", "text/event-stream");
	}

	void writeDue(long now, long tokenNanos, boolean withDoneMarker) {
		if (now < this.readyNanos || this.response.closed()) {
			return;
		}
		long due = Math.min(this.tokens.size(), this.resumeFrom + 1 + (now - this.readyNanos) / tokenNanos);
		StringBuilder events = new StringBuilder();
		while (this.nextToken < due && !this.response.writeQueueFull()) {
			events.append(event(this.tokens.get(this.nextToken), null));
			this.nextToken++;
		}
		if (this.nextToken >= this.tokens.size()) {
			finish(events, withDoneMarker);
		}
		else if (events.length() > 0) {
			this.response.write(events.toString());
		}
	}

	private void finish(StringBuilder events, boolean withDoneMarker) {
		this.done = true;
		if (withDoneMarker) {
			events.append(event("", CompletionText.finishReason(this.prompt, this.maxTokens)));
			events.append("data: [DONE]\n\n");
		}
		this.response.end(events.toString());
	}

	private String event(String text, String finishReason) {
		JsonObject choice = new JsonObject().put("index", 0).put("text", text).put("finish_reason", finishReason);
		JsonObject body = new JsonObject().put("id", this.requestId)
			.put("object", "text_completion")
			.put("model", this.model)
			.put("system_fingerprint", this.version)
			.put("choices", new JsonArray().add(choice));
		if (finishReason != null) {
			body.put("usage", new JsonObject().put("prompt_tokens", CompletionText.promptTokens(this.prompt))
				.put("completion_tokens", this.tokens.size()));
		}
		return "data: " + body.encode() + "\n\n";
	}

}
