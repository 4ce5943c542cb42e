package org.wigeonglade.adapters.log;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.ExchangeException;
import org.wigeonglade.adapters.http.HttpExchange;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;

/**
 * Client of the platform's log service over HTTP. An append is never retried.
 */
public final class HttpLogService implements LogService {

	/** Error codes by which the log states that it did not apply an append. */
	private static final Set<String> NOT_APPLIED_CODES = Set.of("not_applied", "rate_limited");

	private static final int FIRST_SERVER_ERROR = 500;

	private final HttpExchange exchange;

	private final URI base;

	private final Duration timeout;

	private HttpLogService(HttpExchange exchange, URI base, Duration timeout) {
		this.exchange = exchange;
		this.base = base;
		this.timeout = timeout;
	}

	/**
	 * Returns a client of a log service.
	 * @param vertx the event loops, not null
	 * @param client the HTTP client, not null
	 * @param url the base URL, not null
	 * @param timeout the time until a call fails, not null
	 * @return a client, never null
	 */
	public static HttpLogService of(Vertx vertx, HttpClient client, String url, Duration timeout) {
		return new HttpLogService(HttpExchange.of(vertx, client), URI.create(url), timeout);
	}

	@Override
	public Uni<Long> append(StreamName stream, byte[] record) {
		RequestOptions options = requestOptions(HttpMethod.POST, "/streams/" + stream);
		return this.exchange.send(options, Buffer.buffer(record), this.timeout)
			.onItem()
			.transform(HttpLogService::readOffset)
			.onFailure((cause) -> !(cause instanceof PlatformException))
			.transform((cause) -> toPlatformException("append to " + stream, cause));
	}

	@Override
	public Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords) {
		String path = "/streams/" + stream + "?from=" + fromOffset + "&max=" + maxRecords;
		return this.exchange.send(requestOptions(HttpMethod.GET, path), null, this.timeout)
			.onItem()
			.transform(HttpLogService::readSlice)
			.onFailure((cause) -> !(cause instanceof PlatformException))
			.transform((cause) -> new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
					"read of " + stream + " failed: " + cause.getMessage(), cause));
	}

	private RequestOptions requestOptions(HttpMethod method, String path) {
		return new RequestOptions().setMethod(method)
			.setHost(this.base.getHost())
			.setPort(this.base.getPort())
			.setURI(this.base.getPath() + path)
			.setConnectTimeout(this.timeout.toMillis());
	}

	private static Long readOffset(HttpReply reply) {
		if (!reply.isSuccess()) {
			boolean maybeApplied = reply.status() >= FIRST_SERVER_ERROR
					&& !NOT_APPLIED_CODES.contains(reply.errorCode());
			throw new PlatformException((maybeApplied) ? ErrorCode.PLATFORM_UNKNOWN : ErrorCode.PLATFORM_UNAVAILABLE,
					"the log responded to an append with status " + reply.status() + " " + reply.errorCode(), null);
		}
		Long offset = reply.body().toJsonObject().getLong("offset");
		if (offset == null || offset < 0) {
			throw new PlatformException(ErrorCode.PLATFORM_UNKNOWN, "the log responded to an append without an offset",
					null);
		}
		return offset;
	}

	private static LogSlice readSlice(HttpReply reply) {
		if (!reply.isSuccess()) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
					"the log responded to a read with status " + reply.status() + " " + reply.errorCode(), null);
		}
		JsonObject body = reply.body().toJsonObject();
		List<StoredRecord> records = new ArrayList<>();
		for (Object entry : body.getJsonArray("records")) {
			JsonObject record = (JsonObject) entry;
			records.add(new StoredRecord(record.getLong("offset"),
					Base64.getDecoder().decode(record.getString("payload"))));
		}
		return new LogSlice(records, body.getLong("oldest"), body.getLong("head"));
	}

	private static PlatformException toPlatformException(String operation, Throwable cause) {
		boolean notSent = cause instanceof ExchangeException failure && !failure.isWritten();
		return new PlatformException((notSent) ? ErrorCode.PLATFORM_UNAVAILABLE : ErrorCode.PLATFORM_UNKNOWN,
				operation + " failed: " + cause.getMessage(), cause);
	}

}
