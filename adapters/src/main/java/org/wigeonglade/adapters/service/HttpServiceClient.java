package org.wigeonglade.adapters.service;

import java.util.Locale;
import java.util.Set;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.HostAndPort;
import org.wigeonglade.adapters.http.ExchangeException;
import org.wigeonglade.adapters.http.HttpExchange;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;

/**
 * Client of an instance of a plain service over HTTP. A response of any status is a
 * reply; only a missing response is a failure.
 */
public final class HttpServiceClient implements ServiceClient {

	/** Headers that apply to one connection or message and are not forwarded. */
	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect");

	private final HttpExchange exchange;

	private final HostAndPort address;

	private HttpServiceClient(HttpExchange exchange, HostAndPort address) {
		this.exchange = exchange;
		this.address = address;
	}

	/**
	 * Returns a client of one instance.
	 * @param vertx the event loops, not null
	 * @param client the HTTP client, not null
	 * @param address {@code ip:port}, not null
	 * @return a client, never null
	 */
	public static HttpServiceClient of(Vertx vertx, HttpClient client, String address) {
		return new HttpServiceClient(HttpExchange.of(vertx, client), HostAndPort.parseAuthority(address, -1));
	}

	@Override
	public Uni<ServiceReply> call(ServiceCall call) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(call.method()))
			.setHost(this.address.host())
			.setPort(this.address.port())
			.setURI(call.path())
			.setConnectTimeout(call.timeout().toMillis());
		call.headers().forEach((name, values) -> {
			if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				values.forEach((value) -> options.addHeader(name, value));
			}
		});
		Buffer body = (call.body() != null && call.body().length > 0) ? Buffer.buffer(call.body()) : null;
		return this.exchange.send(options, body, call.timeout())
			.onItem()
			.transform((reply) -> new ServiceReply(reply.status(), reply.headers(), reply.body().getBytes()))
			.onFailure(ExchangeException.class)
			.transform((cause) -> toUpstreamException((ExchangeException) cause));
	}

	private UpstreamException toUpstreamException(ExchangeException cause) {
		ErrorCode code = (cause.isTimedOut()) ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.UPSTREAM_FAILED;
		return new UpstreamException(code, (cause.isWritten()) ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN,
				cause.isConnectionLost(), "the service at " + this.address + " failed: " + cause.getMessage(), cause);
	}

}
