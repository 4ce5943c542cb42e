package org.wigeonglade.adapters.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.HostAndPort;
import org.wigeonglade.adapters.http.ExchangeException;
import org.wigeonglade.adapters.http.HttpExchange;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.core.engine.CacheEvents;
import org.wigeonglade.core.engine.CacheEvents.CacheEvent;
import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.engine.LoadReport;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;

/**
 * Client of a model engine over HTTP. Completions are received as server-sent events.
 */
public final class HttpEngineClient implements EngineClient {

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int CONFLICT = 409;

	private final HttpClient client;

	private final HttpExchange exchange;

	private final HostAndPort address;

	private HttpEngineClient(HttpClient client, HttpExchange exchange, HostAndPort address) {
		this.client = client;
		this.exchange = exchange;
		this.address = address;
	}

	/**
	 * Returns a client of one engine.
	 * @param vertx the event loops, not null
	 * @param client the HTTP client, not null
	 * @param address {@code ip:port}, not null
	 * @return a client, never null
	 */
	public static HttpEngineClient of(Vertx vertx, HttpClient client, String address) {
		return new HttpEngineClient(client, HttpExchange.of(vertx, client), HostAndPort.parseAuthority(address, -1));
	}

	@Override
	public Multi<EngineEvent> run(EngineRequest request) {
		RequestOptions options = requestOptions(HttpMethod.POST, "/v1/completions")
			.putHeader("content-type", "application/json")
			.putHeader("accept", "text/event-stream")
			.putHeader("x-request-id", request.requestId().value());
		if (!request.traceParent().isEmpty()) {
			options.putHeader("traceparent", request.traceParent());
		}
		Buffer body = encode(request).toBuffer();
		return Multi.createFrom().emitter((emitter) -> {
			CompletionStream stream = new CompletionStream(emitter, this.address.toString(), request);
			emitter.onTermination(stream::close);
			this.client.request(options)
				.onSuccess((opened) -> stream.write(opened, body))
				.onFailure(stream::failNotSent);
		}, BackPressureStrategy.BUFFER);
	}

	@Override
	public Uni<LoadReport> load() {
		return sendControlRequest(HttpMethod.GET, "/load", null).onItem()
			.transform((reply) -> decode(reply, (body) -> new LoadReport(body.getInteger("slots"),
					body.getInteger("running"), body.getInteger("queued"), body.getLong("age_ms"))));
	}

	@Override
	public Uni<CacheEvents> cacheEvents(long afterSequence) {
		return sendControlRequest(HttpMethod.GET, "/cache/events?after=" + afterSequence, null).onItem()
			.transform((reply) -> decode(reply, HttpEngineClient::decodeCacheEvents));
	}

	@Override
	public Uni<Void> command(EngineCommand command) {
		JsonObject body = new JsonObject().put("term", command.term())
			.put("model", command.model())
			.put("model_version", command.modelVersion())
			.put("adapters", new JsonArray(command.adapters()))
			.put("role", command.role());
		return sendControlRequest(HttpMethod.POST, "/commands", body.toBuffer()).replaceWithVoid();
	}

	@Override
	public Uni<byte[]> exportCache(String prefixHash) {
		return sendControlRequest(HttpMethod.GET, "/cache/blocks/" + prefixHash, null).onItem()
			.transform((reply) -> reply.body().getBytes());
	}

	@Override
	public Uni<Void> importCache(String prefixHash, byte[] cache) {
		return sendControlRequest(HttpMethod.PUT, "/cache/blocks/" + prefixHash, Buffer.buffer(cache))
			.replaceWithVoid();
	}

	private Uni<HttpReply> sendControlRequest(HttpMethod method, String path, Buffer body) {
		return this.exchange.send(requestOptions(method, path), body, CONTROL_TIMEOUT)
			.onFailure(ExchangeException.class)
			.transform((cause) -> toUpstreamException((ExchangeException) cause))
			.onItem()
			.invoke(this::requireSuccess);
	}

	private RequestOptions requestOptions(HttpMethod method, String path) {
		return new RequestOptions().setMethod(method)
			.setHost(this.address.host())
			.setPort(this.address.port())
			.setURI(path)
			.setConnectTimeout(CONTROL_TIMEOUT.toMillis());
	}

	private void requireSuccess(HttpReply reply) {
		if (reply.isSuccess()) {
			return;
		}
		String message = "the engine at " + this.address + " responded with status " + reply.status() + " "
				+ reply.errorCode();
		if (reply.status() == CONFLICT) {
			throw new UpstreamException(ErrorCode.COMMAND_FENCED, ExecutionState.NOT_RUN, false, message, null);
		}
		throw CompletionStream.failureForStatus(reply.status(), message);
	}

	private UpstreamException toUpstreamException(ExchangeException cause) {
		return new UpstreamException(ErrorCode.UPSTREAM_FAILED,
				(cause.isWritten()) ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN, cause.isConnectionLost(),
				"the engine at " + this.address + " failed: " + cause.getMessage(), cause);
	}

	private <T> T decode(HttpReply reply, java.util.function.Function<JsonObject, T> decoder) {
		try {
			return decoder.apply(reply.body().toJsonObject());
		}
		catch (RuntimeException ex) {
			throw new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.UNKNOWN, false,
					"the engine at " + this.address + " sent a malformed response", ex);
		}
	}

	private static CacheEvents decodeCacheEvents(JsonObject body) {
		List<CacheEvent> events = new ArrayList<>();
		for (Object entry : body.getJsonArray("events")) {
			JsonObject event = (JsonObject) entry;
			events.add(new CacheEvent(event.getLong("sequence"), event.getString("prefix_hash"),
					event.getBoolean("stored")));
		}
		return new CacheEvents(events);
	}

	private static JsonObject encode(EngineRequest request) {
		JsonObject body = new JsonObject().put("model", request.model())
			.put("prompt", request.prompt())
			.put("max_tokens", request.maxTokens())
			.put("stream", true)
			.put("stream_options", new JsonObject().put("include_usage", true))
			.put("user", request.requestId().value());
		if (!request.resumeTokens().isEmpty()) {
			body.put("resume_tokens", new JsonArray(request.resumeTokens()));
		}
		return body;
	}

}
