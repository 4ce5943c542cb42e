package org.wigeonglade.adapters.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/**
 * Sends HTTP requests and reads their complete responses. A request is written at most
 * once.
 */
public final class HttpExchange {

	private final Vertx vertx;

	private final HttpClient client;

	private HttpExchange(Vertx vertx, HttpClient client) {
		this.vertx = vertx;
		this.client = client;
	}

	/**
	 * Returns an exchange over a client.
	 * @param vertx the event loops, not null
	 * @param client the client, not null
	 * @return an exchange, never null
	 */
	public static HttpExchange of(Vertx vertx, HttpClient client) {
		return new HttpExchange(vertx, client);
	}

	/**
	 * Sends a request.
	 * @param options method and address, not null
	 * @param body the body, or null for none
	 * @param timeout the time until the exchange fails, not null
	 * @return the response; fails with {@link ExchangeException}
	 */
	public Uni<HttpReply> send(RequestOptions options, Buffer body, Duration timeout) {
		return Uni.createFrom().emitter((emitter) -> {
			Attempt attempt = new Attempt(emitter);
			long timer = this.vertx.setTimer(Math.max(1, timeout.toMillis()), (id) -> attempt.timeOut(timeout));
			emitter.onTermination(() -> attempt.cancel());
			this.client.request(options)
				.onSuccess((request) -> attempt.write(request, body, timer))
				.onFailure((cause) -> attempt.fail(false, "no connection", cause, timer));
		});
	}

	private final class Attempt {

		private final UniEmitter<? super HttpReply> emitter;

		private final AtomicBoolean ended = new AtomicBoolean();

		private volatile HttpClientRequest request;

		private Attempt(UniEmitter<? super HttpReply> emitter) {
			this.emitter = emitter;
		}

		private synchronized void write(HttpClientRequest opened, Buffer body, long timer) {
			if (this.ended.get()) {
				opened.reset();
				return;
			}
			this.request = opened;
			// Failures are reported by the response; without this handler Vert.x logs
			// them too.
			opened.exceptionHandler((ignored) -> {
			});
			opened.response().onComplete((response) -> {
				if (response.succeeded()) {
					readBody(response.result(), timer);
				}
				else {
					fail(true, "the connection was lost before the response", response.cause(), timer);
				}
			});
			// The response does not fail if the connection was closed before the request
			// was opened; the write does.
			Future<Void> written = (body != null) ? opened.end(body) : opened.end();
			written.onFailure((cause) -> fail(true, "the request could not be written", cause, timer));
		}

		private void readBody(HttpClientResponse response, long timer) {
			response.body()
				.onSuccess((body) -> complete(HttpReply.of(response.statusCode(), response.headers(), body), timer))
				.onFailure((cause) -> fail(true, "the connection was lost while the response was read", cause, timer));
		}

		private void complete(HttpReply reply, long timer) {
			HttpExchange.this.vertx.cancelTimer(timer);
			if (this.ended.compareAndSet(false, true)) {
				this.emitter.complete(reply);
			}
		}

		private void fail(boolean written, String message, Throwable cause, long timer) {
			HttpExchange.this.vertx.cancelTimer(timer);
			if (this.ended.compareAndSet(false, true)) {
				this.emitter.fail(new ExchangeException(written, false, message, cause));
			}
		}

		private synchronized void timeOut(Duration timeout) {
			if (!this.ended.compareAndSet(false, true)) {
				return;
			}
			boolean written = this.request != null;
			if (written) {
				this.request.reset();
			}
			this.emitter
				.fail(new ExchangeException(written, true, "no response within " + timeout.toMillis() + " ms", null));
		}

		private synchronized void cancel() {
			if (this.ended.compareAndSet(false, true) && this.request != null) {
				this.request.reset();
			}
		}

	}

}
