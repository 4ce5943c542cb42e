package org.wigeonglade.entry.completion;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.engine.EngineEvent;

/**
 * Writes answers in the completion and chat completion formats.
 */
public final class CompletionJson {

	private static final Buffer DONE = Buffer.buffer("data: [DONE]\n\n");

	private static final String MARK = "text of the token";

	private final String id;

	private final CompletionBody body;

	private final long createdSeconds;

	private String chunkStart;

	private String chunkEnd;

	/**
	 * Creates the format of one answer.
	 * @param id the identifier of the answer, not null
	 * @param body the request, not null
	 * @param createdSeconds the time, seconds since the epoch
	 */
	public CompletionJson(String id, CompletionBody body, long createdSeconds) {
		this.id = id;
		this.body = body;
		this.createdSeconds = createdSeconds;
	}

	/**
	 * Writes a whole answer.
	 * @param text the text, not null
	 * @param end the end mark, not null
	 * @return the JSON body
	 */
	public Buffer whole(String text, EngineEvent.End end) {
		JsonObject choice = new JsonObject().put("index", 0);
		if (this.body.chat()) {
			choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
		}
		else {
			choice.put("text", text);
		}
		choice.put("finish_reason", end.finishReason());
		return frame(this.body.chat() ? "chat.completion" : "text_completion", choice).put("usage", usage(end))
			.toBuffer();
	}

	/**
	 * Writes one token of a streamed answer.
	 * @param text the text of the token, not null
	 * @return a server-sent event
	 */
	public Buffer chunk(String text) {
		if (this.chunkStart == null) {
			prepareChunks();
		}
		return Buffer.buffer(this.chunkStart + Json.encode(text) + this.chunkEnd);
	}

	/**
	 * Writes the end of a streamed answer.
	 * @param end the end mark, not null
	 * @return the last server-sent events
	 */
	public Buffer last(EngineEvent.End end) {
		JsonObject frame = frame(chunkObject(), choice("").put("finish_reason", end.finishReason()));
		return event(frame.put("usage", usage(end))).appendBuffer(DONE);
	}

	/**
	 * Writes the failure that ends a streamed answer.
	 * @param error the error body, not null
	 * @return a server-sent event
	 */
	public static Buffer error(JsonObject error) {
		return Buffer.buffer("event: error\ndata: ").appendBuffer(error.toBuffer()).appendString("\n\n");
	}

	// All events of one answer differ only in their text, so that the rest is written
	// once.
	private void prepareChunks() {
		String template = event(frame(chunkObject(), choice(MARK).put("finish_reason", null))).toString();
		String quoted = Json.encode(MARK);
		int at = template.lastIndexOf(quoted);
		this.chunkStart = template.substring(0, at);
		this.chunkEnd = template.substring(at + quoted.length());
	}

	private JsonObject choice(String text) {
		JsonObject choice = new JsonObject().put("index", 0);
		if (this.body.chat()) {
			return choice.put("delta", text.isEmpty() ? new JsonObject() : new JsonObject().put("content", text));
		}
		return choice.put("text", text);
	}

	private String chunkObject() {
		return this.body.chat() ? "chat.completion.chunk" : "text_completion";
	}

	private JsonObject frame(String object, JsonObject choice) {
		return new JsonObject().put("id", this.id)
			.put("object", object)
			.put("created", this.createdSeconds)
			.put("model", this.body.model())
			.put("choices", new JsonArray().add(choice));
	}

	private static JsonObject usage(EngineEvent.End end) {
		return new JsonObject().put("prompt_tokens", end.promptTokens())
			.put("completion_tokens", end.completionTokens())
			.put("total_tokens", end.promptTokens() + end.completionTokens());
	}

	private static Buffer event(JsonObject data) {
		return Buffer.buffer("data: ").appendBuffer(data.toBuffer()).appendString("\n\n");
	}

}
