package org.wigeonglade.entry.operator;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Objects;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.core.account.Account;
import org.wigeonglade.core.account.AccountQuery;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.schema.generated.log.ConfigChange;

/**
 * HTTP routes of the operator interface.
 */
final class OperatorRoutes {

	private static final EventLogger LOGGER = EventLogger.of(OperatorRoutes.class);

	private static final int MAX_NAME_LENGTH = 200;

	private static final int MAX_REASON_LENGTH = 2000;

	private static final int STATUS_UNAVAILABLE = 503;

	private final OperatorContext context;

	private final HostStatus status;

	private final AccountCollector collector;

	private final SettingsReader reader;

	OperatorRoutes(OperatorContext context, HostStatus status, AccountCollector collector, SettingsReader reader) {
		this.context = context;
		this.status = status;
		this.collector = collector;
		this.reader = reader;
	}

	Router build(Vertx vertx) {
		Router router = Router.router(vertx);
		router.get("/healthz").handler((request) -> request.response().end("ok\n"));
		router.get("/readyz").handler(this::sendReadiness);
		router.get("/metrics").handler(this::sendMetrics);
		router.get("/operator/status").handler((request) -> sendJson(request, this.status.toJson()));
		router.get("/operator/config").handler(this::sendConfiguration);
		router.post("/operator/config")
			.handler(BodyHandler.create(false).setBodyLimit(SettingsReader.MAX_BYTES))
			.handler(this::publishConfiguration);
		router.get("/operator/config/history").handler(this::sendHistory);
		router.get("/operator/explain").handler(this::sendAccount);
		router.get("/operator/account").handler(this::sendAccountPage);
		router.route().failureHandler((request) -> sendFailure(request, request.failure(), request.statusCode()));
		router.errorHandler(404, (request) -> sendError(request, ErrorCode.NOT_FOUND.getHttpStatus(),
				ErrorCode.NOT_FOUND, ExecutionState.NOT_RUN, "there is nothing at this path"));
		router.errorHandler(405, (request) -> sendError(request, ErrorCode.METHOD_INVALID.getHttpStatus(),
				ErrorCode.METHOD_INVALID, ExecutionState.NOT_RUN, "this path does not support the method"));
		return router;
	}

	private void sendReadiness(RoutingContext request) {
		boolean ready = this.context.ready().getAsBoolean();
		request.response().setStatusCode((ready) ? 200 : STATUS_UNAVAILABLE).end((ready) ? "ready\n" : "not ready\n");
	}

	private void sendMetrics(RoutingContext request) {
		request.response().putHeader("content-type", HostMetrics.CONTENT_TYPE).end(this.context.metrics().write());
	}

	private void sendConfiguration(RoutingContext request) {
		VersionedConfiguration current = this.context.configuration().current();
		String body = new String(this.reader.write(current.body()), StandardCharsets.UTF_8);
		sendJson(request,
				new JsonObject().put("version", current.version()).put("configuration", new JsonObject(body)));
	}

	private void publishConfiguration(RoutingContext request) {
		long base = numberParameter(request, "base");
		String author = textParameter(request, "author", MAX_NAME_LENGTH);
		String reason = textParameter(request, "reason", MAX_REASON_LENGTH);
		byte[] body = (request.body().buffer() != null) ? request.body().buffer().getBytes() : new byte[0];
		this.reader.readFleetConfiguration(body);
		sendResult(request, this.context.admin().publish(base, body, author, reason).onItem().transform((version) -> {
			LOGGER.log(OperatorEvent.CONFIG_PUBLISHED, version, author);
			return new JsonObject().put("version", version);
		})
			.onFailure(WigeongladeException.class)
			.invoke((failure) -> LOGGER.log(OperatorEvent.CONFIG_REFUSED, base, author,
					((WigeongladeException) failure).getCode().getCode())));
	}

	private void sendHistory(RoutingContext request) {
		sendResult(request, this.context.admin().history().onItem().transform((changes) -> {
			JsonArray list = new JsonArray();
			changes.forEach((change) -> list.add(toJson(change)));
			return new JsonObject().put("changes", list);
		}));
	}

	private static JsonObject toJson(ConfigChange change) {
		JsonObject json = new JsonObject().put("version", change.getVersion())
			.put("baseVersion", change.getBaseVersion())
			.put("author", change.getAuthor())
			.put("reason", change.getReason())
			.put("time", Instant.ofEpochMilli(change.getWallTimeMs()).toString())
			.put("bytes", change.getBody().size());
		return (change.getRollbackOf() > 0) ? json.put("rollbackOf", change.getRollbackOf()) : json;
	}

	private void sendAccount(RoutingContext request) {
		sendResult(request, this.collector.collect(parseQuery(request)).onItem().transform(OperatorRoutes::toJson));
	}

	private static JsonObject toJson(Account account) {
		JsonArray statements = new JsonArray();
		account.statements()
			.forEach((statement) -> statements.add(new JsonObject().put("time", statement.time())
				.put("sentence", statement.sentence())
				.put("detail", statement.detail())
				.put("eventId", statement.eventId())));
		JsonArray gaps = new JsonArray();
		account.gaps()
			.forEach((gap) -> gaps.add(new JsonObject().put("sentence", gap.sentence()).put("detail", gap.detail())));
		return new JsonObject().put("summary", account.summary()).put("statements", statements).put("gaps", gaps);
	}

	private void sendAccountPage(RoutingContext request) {
		request.response()
			.putHeader("content-type", "text/html; charset=utf-8")
			.putHeader("content-security-policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'");
		if (request.queryParam("kind").isEmpty()) {
			request.response().end(AccountPage.renderForm());
			return;
		}
		AccountQuery query;
		try {
			query = parseQuery(request);
		}
		catch (InvalidRequestException ex) {
			request.response()
				.setStatusCode(ex.getCode().getHttpStatus())
				.end(AccountPage.renderError(ex.getMessage()));
			return;
		}
		boolean verbose = request.queryParam("verbose").contains("true");
		this.collector.collect(query)
			.subscribe()
			.with((account) -> request.response().end(AccountPage.render(query, account, verbose)), request::fail);
	}

	private static AccountQuery parseQuery(RoutingContext request) {
		String id = request.queryParam("id").stream().findFirst().orElse("");
		return new AccountQuery(textParameter(request, "kind", MAX_NAME_LENGTH), id, timeParameter(request, "from", 0),
				timeParameter(request, "to", Long.MAX_VALUE));
	}

	private static long timeParameter(RoutingContext request, String name, long defaultValue) {
		String value = request.queryParam(name).stream().findFirst().orElse("");
		if (value.isEmpty()) {
			return defaultValue;
		}
		try {
			return Instant.parse(value).toEpochMilli();
		}
		catch (DateTimeParseException | ArithmeticException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					name + " is '" + value + "', but must be a time such as 2026-01-31T08:00:00Z", ex);
		}
	}

	private static long numberParameter(RoutingContext request, String name) {
		String value = textParameter(request, name, MAX_NAME_LENGTH);
		try {
			return Long.parseUnsignedLong(value);
		}
		catch (NumberFormatException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					name + " is '" + value + "', but must be a number from 0", ex);
		}
	}

	private static String textParameter(RoutingContext request, String name, int maxLength) {
		List<String> values = request.queryParam(name);
		String value = (values.isEmpty()) ? "" : values.getFirst();
		if (value.isBlank() || value.length() > maxLength || value.chars().anyMatch(Character::isISOControl)) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, "the query parameter " + name
					+ " must have 1 to " + maxLength + " characters without control characters");
		}
		return value;
	}

	private static void sendResult(RoutingContext request, Uni<JsonObject> result) {
		result.subscribe().with((body) -> sendJson(request, body), request::fail);
	}

	private static void sendJson(RoutingContext request, JsonObject body) {
		request.response().putHeader("content-type", "application/json").end(body.encodePrettily() + "\n");
	}

	private static void sendFailure(RoutingContext request, Throwable failure, int httpStatus) {
		if (failure instanceof WigeongladeException error) {
			sendError(request, error.getCode().getHttpStatus(), error.getCode(), error.getExecutionState(),
					error.getMessage());
		}
		else if (failure == null && httpStatus == ErrorCode.TOO_LARGE.getHttpStatus()) {
			sendError(request, httpStatus, ErrorCode.TOO_LARGE, ExecutionState.NOT_RUN,
					"the body is longer than " + SettingsReader.MAX_BYTES + " bytes");
		}
		else if (failure == null) {
			request.next();
		}
		else {
			LOGGER.log(OperatorEvent.REQUEST_FAILED, failure, request.normalizedPath());
			sendError(request, ErrorCode.INTERNAL.getHttpStatus(), ErrorCode.INTERNAL, ExecutionState.UNKNOWN,
					"an unexpected failure; the log of this host holds the cause");
		}
	}

	private static void sendError(RoutingContext request, int httpStatus, ErrorCode code, ExecutionState ran,
			String message) {
		if (request.response().ended()) {
			return;
		}
		JsonObject error = new JsonObject().put("code", code.getCode())
			.put("message", Objects.toString(message, ""))
			.put("ran", ran.getText());
		request.response()
			.setStatusCode(httpStatus)
			.putHeader("content-type", "application/json")
			.end(new JsonObject().put("error", error).encodePrettily() + "\n");
	}

}
