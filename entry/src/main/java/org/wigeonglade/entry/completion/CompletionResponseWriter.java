package org.wigeonglade.entry.completion;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.engine.EngineEvent;

/**
 * Writer for one response in the completion or chat completion format. Not thread-safe.
 */
public final class CompletionResponseWriter {

	private static final Buffer DONE = Buffer.buffer("data: [DONE]\n\n");

	private static final String TEXT_PLACEHOLDER = "text of the token";

	private final String id;

	private final CompletionBody body;

	private final long createdSeconds;

	private String chunkPrefix;

	private String chunkSuffix;

	/**
	 * Creates a writer.
	 * @param id the identifier of the response, not null
	 * @param body the request, not null
	 * @param createdSeconds the time of the response in seconds since the epoch
	 */
	public CompletionResponseWriter(String id, CompletionBody body, long createdSeconds) {
		this.id = id;
		this.body = body;
		this.createdSeconds = createdSeconds;
	}

	/**
	 * Writes a response that is not streamed.
	 * @param text the generated text, not null
	 * @param end the finish reason and token counts, not null
	 * @return the JSON body
	 */
	public Buffer completeResponse(String text, EngineEvent.End end) {
		JsonObject choice = new JsonObject().put("index", 0);
		if (this.body.chat()) {
			choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
		}
		else {
			choice.put("text", text);
		}
		choice.put("finish_reason", end.finishReason());
		return envelope(this.body.chat() ? "chat.completion" : "text_completion", choice).put("usage", usage(end))
			.toBuffer();
	}

	/**
	 * Writes one token of a streamed response.
	 * @param text the text of the token, not null
	 * @return a server-sent event
	 */
	public Buffer chunk(String text) {
		if (this.chunkPrefix == null) {
			prepareChunks();
		}
		return Buffer.buffer(this.chunkPrefix + Json.encode(text) + this.chunkSuffix);
	}

	/**
	 * Writes the end of a streamed response.
	 * @param end the finish reason and token counts, not null
	 * @return the last server-sent events, including the end marker of the format
	 */
	public Buffer finalEvents(EngineEvent.End end) {
		JsonObject response = envelope(chunkObjectType(), choice("").put("finish_reason", end.finishReason()));
		return serverSentEvent(response.put("usage", usage(end))).appendBuffer(DONE);
	}

	/**
	 * Writes the error that ends a streamed response.
	 * @param error the error body, not null
	 * @return a server-sent event
	 */
	public static Buffer error(JsonObject error) {
		return Buffer.buffer("event: error\ndata: ").appendBuffer(error.toBuffer()).appendString("\n\n");
	}

	// The events of one response differ only in the text, so that the JSON around it is
	// encoded once.
	private void prepareChunks() {
		String template = serverSentEvent(
				envelope(chunkObjectType(), choice(TEXT_PLACEHOLDER).put("finish_reason", null)))
			.toString();
		String quoted = Json.encode(TEXT_PLACEHOLDER);
		int position = template.lastIndexOf(quoted);
		this.chunkPrefix = template.substring(0, position);
		this.chunkSuffix = template.substring(position + quoted.length());
	}

	private JsonObject choice(String text) {
		JsonObject choice = new JsonObject().put("index", 0);
		if (this.body.chat()) {
			return choice.put("delta", text.isEmpty() ? new JsonObject() : new JsonObject().put("content", text));
		}
		return choice.put("text", text);
	}

	private String chunkObjectType() {
		return this.body.chat() ? "chat.completion.chunk" : "text_completion";
	}

	private JsonObject envelope(String object, JsonObject choice) {
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

	private static Buffer serverSentEvent(JsonObject data) {
		return Buffer.buffer("data: ").appendBuffer(data.toBuffer()).appendString("\n\n");
	}

}
