package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * HTTP client that plays a caller of the users' machines and sends requests to one host.
 * Thread-safe.
 */
public final class MachineCaller {

	/** Time-out of a response. */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final InetSocketAddress host;

	/**
	 * Creates a caller.
	 * @param host the address on which the host accepts requests, not null
	 */
	public MachineCaller(InetSocketAddress host) {
		this.host = host;
	}

	/**
	 * Sends a request.
	 * @param path its path, not null
	 * @param id its id, not null
	 * @param deadlineMillis the deadline sent with the request, in milliseconds
	 * @return the complete response
	 * @throws UncheckedIOException if the connection fails or the response is incomplete
	 */
	public HttpResponse<String> call(String path, String id, long deadlineMillis) {
		return send(request(path, id).header("Deadline-Ms", Long.toString(deadlineMillis))
			.POST(HttpRequest.BodyPublishers.ofString("body of " + id)));
	}

	/**
	 * Submits a batch job.
	 * @param job its id, not null
	 * @param items the number of items
	 * @return the complete response
	 * @throws UncheckedIOException if the connection fails or the response is incomplete
	 */
	public HttpResponse<String> submit(String job, int items) {
		JsonArray list = new JsonArray();
		for (int i = 0; i < items; i++) {
			list.add(new JsonObject().put("id", job + "-" + i)
				.put("path", "/batch-stream/" + i)
				.put("headers", new JsonObject().put("Model", "m"))
				.put("body", Base64.getEncoder().encodeToString(("item " + i).getBytes(StandardCharsets.UTF_8)))
				.put("token-count", 10));
		}
		return send(request("/batch-stream/submit", job)
			.POST(HttpRequest.BodyPublishers.ofString(new JsonObject().put("items", list).encode())));
	}

	/**
	 * Reads the results of a job.
	 * @param job its id, not null
	 * @return the results, empty if the status is not 200
	 * @throws UncheckedIOException if the connection fails or the response is incomplete
	 */
	public JsonObject results(String job) {
		HttpResponse<String> answer = get("/api/lots/" + job + "?after=0");
		return (answer.statusCode() == 200) ? new JsonObject(answer.body()) : new JsonObject();
	}

	/**
	 * Deletes a job.
	 * @param job its id, not null
	 * @return the complete response
	 * @throws UncheckedIOException if the connection fails or the response is incomplete
	 */
	public HttpResponse<String> deleteJob(String job) {
		return send(request("/api/lots/" + job, "reader").DELETE());
	}

	/**
	 * Sends a GET request.
	 * @param path the path, not null
	 * @return the complete response
	 * @throws UncheckedIOException if the connection fails or the response is incomplete
	 */
	public HttpResponse<String> get(String path) {
		return send(request(path, "reader").GET());
	}

	/**
	 * Creates a request builder with the time-out and the request id.
	 * @param path its path, not null
	 * @param id its id, not null
	 * @return a builder without an HTTP method
	 */
	public HttpRequest.Builder request(String path, String id) {
		return HttpRequest
			.newBuilder(
					URI.create("http://" + this.host.getAddress().getHostAddress() + ":" + this.host.getPort() + path))
			.timeout(RESPONSE_TIMEOUT)
			.header("Request-Id", id);
	}

	/**
	 * Sends a request and blocks until the response is complete.
	 * @param request the request, not null
	 * @return the complete response
	 * @throws UncheckedIOException if the connection fails or the response is incomplete
	 */
	public static HttpResponse<String> send(HttpRequest.Builder request) {
		try {
			return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted during a call", ex);
		}
	}

}
