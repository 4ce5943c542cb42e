package org.wigeonglade.adapters.http;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;

/**
 * Factory of HTTP clients, which adapters share.
 */
public final class HttpClients {

	/**
	 * Maximum number of connections to one address. Requests never wait for a connection,
	 * because limits are enforced before an adapter is called.
	 */
	private static final int CONNECTIONS_PER_ADDRESS = 2048;

	/**
	 * Time after which an idle connection is closed. It is shorter than the idle time-out
	 * of common servers, so that a request is rarely written to a connection that the
	 * server is closing.
	 */
	private static final int KEEP_ALIVE_SECONDS = 10;

	private HttpClients() {
	}

	/**
	 * Returns a client for HTTP/1.1 with one connection for each request in progress. A
	 * connection is closed when it receives bytes that are not the response to its
	 * request ({@link MalformedResponseException}).
	 * @param vertx the event loops, not null
	 * @param connectTimeout the time until a connection attempt fails, not null
	 * @return a client, never null
	 */
	public static HttpClient create(Vertx vertx, Duration connectTimeout) {
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_1_1)
			.setConnectTimeout((int) connectTimeout.toMillis())
			.setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
			.setTcpNoDelay(true);
		return vertx.httpClientBuilder()
			.with(options)
			.with(new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ADDRESS))
			.withConnectHandler((connection) -> ResponseGuard
				.install(((HttpClientConnectionInternal) connection).channelHandlerContext().pipeline()))
			.build();
	}

}
