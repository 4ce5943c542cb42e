package org.wigeonglade.adapters.hosts;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.HttpExchange;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;

/**
 * Client of the platform's host list over HTTP. A list with a malformed entry is rejected
 * as a whole, so that a damaged response is not mistaken for the loss of hosts.
 */
public final class HttpHostDirectory implements HostDirectory {

	private final HttpExchange exchange;

	private final URI base;

	private final Duration timeout;

	private HttpHostDirectory(HttpExchange exchange, URI base, Duration timeout) {
		this.exchange = exchange;
		this.base = base;
		this.timeout = timeout;
	}

	/**
	 * Returns a client of a host list.
	 * @param vertx the event loops, not null
	 * @param client the HTTP client, not null
	 * @param url the base URL, not null
	 * @param timeout the time until a call fails, not null
	 * @return a client, never null
	 */
	public static HttpHostDirectory of(Vertx vertx, HttpClient client, String url, Duration timeout) {
		return new HttpHostDirectory(HttpExchange.of(vertx, client), URI.create(url), timeout);
	}

	@Override
	public Uni<List<ListedHost>> list() {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET)
			.setHost(this.base.getHost())
			.setPort(this.base.getPort())
			.setURI(this.base.getPath() + "/hosts")
			.setConnectTimeout(this.timeout.toMillis());
		return this.exchange.send(options, null, this.timeout)
			.onItem()
			.transform(HttpHostDirectory::readList)
			.onFailure((cause) -> !(cause instanceof PlatformException))
			.transform((cause) -> new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
					"the host list cannot be read: " + cause.getMessage(), cause));
	}

	private static List<ListedHost> readList(HttpReply reply) {
		if (!reply.isSuccess()) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
					"the host list responded with status " + reply.status(), null);
		}
		List<ListedHost> hosts = new ArrayList<>();
		for (Object entry : reply.body().toJsonObject().getJsonArray("hosts")) {
			hosts.add(readHost((JsonObject) entry));
		}
		return List.copyOf(hosts);
	}

	private static ListedHost readHost(JsonObject entry) {
		List<String> models = entry.getJsonArray("models", new JsonArray()).stream().map(String::valueOf).toList();
		return new ListedHost(required(entry, "name"),
				HostRole.valueOf(required(entry, "role").toUpperCase(Locale.ROOT)), required(entry, "address"),
				required(entry, "failure_domain"), required(entry, "region"), entry.getString("service", ""), models,
				entry.getLong("incarnation", 0L), entry.getBoolean("leaving", false));
	}

	private static String required(JsonObject entry, String name) {
		String value = entry.getString(name);
		if (value == null || value.isEmpty()) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "an entry of the host list has no " + name,
					null);
		}
		return value;
	}

}
