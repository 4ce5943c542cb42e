package org.wigeonglade.cli;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;

/**
 * Sends requests of the command line to a host and waits for the answers.
 */
final class HostClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 5000;

	/** A submitted job of 512 MB needs this long on a slow link. */
	private static final long ANSWER_TIMEOUT_S = 300;

	private static final int FIRST_ERROR_STATUS = 400;

	private static final int MAX_SHOWN_BODY = 300;

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private final WebClient client;

	private final String root;

	private final Map<String, String> headers;

	HostClient(String root, Map<String, String> headers, WebClientOptions options) {
		this.root = (root.endsWith("/")) ? root.substring(0, root.length() - 1) : root;
		this.headers = headers;
		this.client = WebClient.create(this.vertx, options.setConnectTimeout(CONNECT_TIMEOUT_MS));
	}

	JsonObject getJson(String path, Map<String, String> parameters) {
		return toJson(send(HttpMethod.GET, path, parameters, null));
	}

	JsonObject postJson(String path, Map<String, String> parameters, Buffer body) {
		return toJson(send(HttpMethod.POST, path, parameters, (body != null) ? body : Buffer.buffer()));
	}

	Buffer getBytes(String path) {
		Buffer body = send(HttpMethod.GET, path, Map.of(), null).body();
		return (body != null) ? body : Buffer.buffer();
	}

	private HttpResponse<Buffer> send(HttpMethod method, String path, Map<String, String> parameters, Buffer body) {
		HttpRequest<Buffer> request = this.client.requestAbs(method, this.root + path);
		parameters.forEach(request::addQueryParam);
		this.headers.forEach(request::putHeader);
		Future<HttpResponse<Buffer>> answer = (body != null) ? request.sendBuffer(body) : request.send();
		HttpResponse<Buffer> response = await(answer);
		if (response.statusCode() >= FIRST_ERROR_STATUS) {
			throw toFailure(response);
		}
		return response;
	}

	private HttpResponse<Buffer> await(Future<HttpResponse<Buffer>> answer) {
		try {
			return answer.toCompletionStage().toCompletableFuture().get(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
		}
		catch (ExecutionException ex) {
			throw new RemoteException(ErrorCode.PEER_UNREACHABLE, ExecutionState.UNKNOWN,
					this.root + " cannot be reached: " + ex.getCause().getMessage(), ex);
		}
		catch (TimeoutException ex) {
			throw new RemoteException(ErrorCode.PEER_UNREACHABLE, ExecutionState.UNKNOWN,
					this.root + " did not answer within " + ANSWER_TIMEOUT_S + " s", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RemoteException(ErrorCode.PEER_UNREACHABLE, ExecutionState.UNKNOWN, "the command was interrupted",
					ex);
		}
	}

	private RemoteException toFailure(HttpResponse<Buffer> response) {
		String text = (response.body() != null) ? response.body().toString() : "";
		try {
			JsonObject error = new JsonObject(text).getJsonObject("error", new JsonObject());
			String code = error.getString("code", "");
			ErrorCode known = ErrorCode.find(code).orElse(null);
			if (known != null) {
				return new RemoteException(known, toExecutionState(error.getString("ran", "")),
						error.getString("message", ""), null);
			}
		}
		catch (DecodeException | ClassCastException ex) {
			// The body is not one of ours; the status is told below.
		}
		return new RemoteException(
				ErrorCode.INTERNAL, ExecutionState.UNKNOWN, this.root + " answered with HTTP status "
						+ response.statusCode() + ": " + text.substring(0, Math.min(MAX_SHOWN_BODY, text.length())),
				null);
	}

	private static ExecutionState toExecutionState(String text) {
		return Arrays.stream(ExecutionState.values())
			.filter((state) -> state.getText().equals(text))
			.findFirst()
			.orElse(ExecutionState.UNKNOWN);
	}

	private JsonObject toJson(HttpResponse<Buffer> response) {
		try {
			return new JsonObject(response.bodyAsString("UTF-8"));
		}
		catch (DecodeException | NullPointerException ex) {
			throw new RemoteException(ErrorCode.INTERNAL, ExecutionState.UNKNOWN,
					this.root + " answered without a JSON object", ex);
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

}
