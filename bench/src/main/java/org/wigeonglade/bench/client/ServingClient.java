package org.wigeonglade.bench.client;

import java.time.Duration;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.http.HttpExchange;
import org.wigeonglade.adapters.http.HttpReply;

/**
 * Sends requests to the callers' and operators' interfaces over loopback. Thread-safe.
 */
public final class ServingClient {

	private static final String LOOPBACK = "127.0.0.1";

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private final Vertx vertx;

	private final HttpClient http;

	private final HttpExchange exchange;

	private final String apiKey;

	private ServingClient(Vertx vertx, HttpClient http, String apiKey) {
		this.vertx = vertx;
		this.http = http;
		this.exchange = HttpExchange.of(vertx, http);
		this.apiKey = apiKey;
	}

	/**
	 * Returns a client.
	 * @param vertx the event loops, not null
	 * @param apiKey the API key of the workspace, not null
	 * @return a client, never null
	 */
	public static ServingClient of(Vertx vertx, String apiKey) {
		return new ServingClient(vertx, HttpClients.create(vertx, CONNECT_TIMEOUT), apiKey);
	}

	/**
	 * Sends a completion request and reads its stream.
	 * @param port the port of the host or of a link to it
	 * @param body the request body, not null; {@code stream} is set
	 * @param headers more headers, not null
	 * @param timeout the time until the client gives up, not null
	 * @return the answer with a future that never fails
	 */
	public AnswerStream complete(int port, JsonObject body, Map<String, String> headers, Duration timeout) {
		RequestOptions options = options(HttpMethod.POST, port, "/v1/completions", headers).putHeader("content-type",
				"application/json");
		AnswerStream stream = new AnswerStream(this.vertx, timeout);
		this.http.request(options)
			.onSuccess((request) -> stream.write(request, body.copy().put("stream", true).toBuffer()))
			.onFailure(stream::failUnsent);
		return stream;
	}

	/**
	 * Sends a request and reads the whole response.
	 * @param method the HTTP method, not null
	 * @param port the port of the host or of a link to it
	 * @param path the path and query, not null
	 * @param body the body, or null for none
	 * @param headers more headers, not null
	 * @param timeout the time until the client gives up, not null
	 * @return the response; fails with
	 * {@link org.wigeonglade.adapters.http.ExchangeException}
	 */
	public Future<HttpReply> send(HttpMethod method, int port, String path, Buffer body, Map<String, String> headers,
			Duration timeout) {
		return Future.fromCompletionStage(
				this.exchange.send(options(method, port, path, headers), body, timeout).subscribeAsCompletionStage());
	}

	private RequestOptions options(HttpMethod method, int port, String path, Map<String, String> headers) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(LOOPBACK)
			.setPort(port)
			.setURI(path)
			.putHeader("authorization", "Bearer " + this.apiKey);
		headers.forEach(options::putHeader);
		return options;
	}

}
