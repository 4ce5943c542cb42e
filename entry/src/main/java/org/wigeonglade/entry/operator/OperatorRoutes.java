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
 * Handles the requests of operators.
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
		router.get("/readyz").handler(this::ready);
		router.get("/metrics").handler(this::metrics);
		router.get("/operator/status").handler((request) -> json(request, this.status.describe()));
		router.get("/operator/config").handler(this::showConfiguration);
		router.post("/operator/config")
			.handler(BodyHandler.create(false).setBodyLimit(SettingsReader.MAX_BYTES))
			.handler(this::publish);
		router.get("/operator/config/history").handler(this::history);
		router.get("/operator/explain").handler(this::explain);
		router.get("/operator/account").handler(this::account);
		router.route().failureHandler((request) -> fail(request, request.failure(), request.statusCode()));
		router.errorHandler(404, (request) -> sendError(request, ErrorCode.NOT_FOUND.getHttpStatus(),
				ErrorCode.NOT_FOUND, ExecutionState.NOT_RUN, "there is nothing at this path"));
		router.errorHandler(405, (request) -> sendError(request, ErrorCode.METHOD_INVALID.getHttpStatus(),
				ErrorCode.METHOD_INVALID, ExecutionState.NOT_RUN, "this path does not support the method"));
		return router;
	}

	private void ready(RoutingContext request) {
		boolean ready = this.context.ready().getAsBoolean();
		request.response().setStatusCode((ready) ? 200 : STATUS_UNAVAILABLE).end((ready) ? "ready\n" : "not ready\n");
	}

	private void metrics(RoutingContext request) {
		request.response().putHeader("content-type", HostMetrics.CONTENT_TYPE).end(this.context.metrics().write());
	}

	private void showConfiguration(RoutingContext request) {
		VersionedConfiguration current = this.context.configuration().current();
		String body = new String(this.reader.write(current.body()), StandardCharsets.UTF_8);
		json(request, new JsonObject().put("version", current.version()).put("configuration", new JsonObject(body)));
	}

	private void publish(RoutingContext request) {
		long base = number(request, "base");
		String author = text(request, "author", MAX_NAME_LENGTH);
		String reason = text(request, "reason", MAX_REASON_LENGTH);
		byte[] body = (request.body().buffer() != null) ? request.body().buffer().getBytes() : new byte[0];
		this.reader.readFleetConfiguration(body);
		answer(request, this.context.admin().publish(base, body, author, reason).onItem().transform((version) -> {
			LOGGER.log(OperatorEvent.CONFIG_PUBLISHED, version, author);
			return new JsonObject().put("version", version);
		})
			.onFailure(WigeongladeException.class)
			.invoke((failure) -> LOGGER.log(OperatorEvent.CONFIG_REFUSED, base, author,
					((WigeongladeException) failure).getCode().getCode())));
	}

	private void history(RoutingContext request) {
		answer(request, this.context.admin().history().onItem().transform((changes) -> {
			JsonArray list = new JsonArray();
			changes.forEach((change) -> list.add(describe(change)));
			return new JsonObject().put("changes", list);
		}));
	}

	private static JsonObject describe(ConfigChange change) {
		JsonObject json = new JsonObject().put("version", change.getVersion())
			.put("baseVersion", change.getBaseVersion())
			.put("author", change.getAuthor())
			.put("reason", change.getReason())
			.put("time", Instant.ofEpochMilli(change.getWallTimeMs()).toString())
			.put("bytes", change.getBody().size());
		return (change.getRollbackOf() > 0) ? json.put("rollbackOf", change.getRollbackOf()) : json;
	}

	private void explain(RoutingContext request) {
		answer(request, this.collector.explain(query(request)).onItem().transform(OperatorRoutes::describe));
	}

	private static JsonObject describe(Account account) {
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

	private void account(RoutingContext request) {
		request.response()
			.putHeader("content-type", "text/html; charset=utf-8")
			.putHeader("content-security-policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'");
		if (request.queryParam("kind").isEmpty()) {
			request.response().end(AccountPage.empty());
			return;
		}
		AccountQuery query;
		try {
			query = query(request);
		}
		catch (InvalidRequestException ex) {
			request.response().setStatusCode(ex.getCode().getHttpStatus()).end(AccountPage.failed(ex.getMessage()));
			return;
		}
		boolean verbose = request.queryParam("verbose").contains("true");
		this.collector.explain(query)
			.subscribe()
			.with((account) -> request.response().end(AccountPage.write(query, account, verbose)), request::fail);
	}

	private static AccountQuery query(RoutingContext request) {
		String id = request.queryParam("id").stream().findFirst().orElse("");
		return new AccountQuery(text(request, "kind", MAX_NAME_LENGTH), id, instant(request, "from", 0),
				instant(request, "to", Long.MAX_VALUE));
	}

	private static long instant(RoutingContext request, String name, long otherwise) {
		String value = request.queryParam(name).stream().findFirst().orElse("");
		if (value.isEmpty()) {
			return otherwise;
		}
		try {
			return Instant.parse(value).toEpochMilli();
		}
		catch (DateTimeParseException | ArithmeticException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					name + " is '" + value + "', but must be a time such as 2026-01-31T08:00:00Z", ex);
		}
	}

	private static long number(RoutingContext request, String name) {
		String value = text(request, name, MAX_NAME_LENGTH);
		try {
			return Long.parseUnsignedLong(value);
		}
		catch (NumberFormatException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					name + " is '" + value + "', but must be a number from 0", ex);
		}
	}

	private static String text(RoutingContext request, String name, int maxLength) {
		List<String> values = request.queryParam(name);
		String value = (values.isEmpty()) ? "" : values.getFirst();
		if (value.isBlank() || value.length() > maxLength || value.chars().anyMatch(Character::isISOControl)) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, "the query parameter " + name
					+ " must have 1 to " + maxLength + " characters without control characters");
		}
		return value;
	}

	private static void answer(RoutingContext request, Uni<JsonObject> result) {
		result.subscribe().with((body) -> json(request, body), request::fail);
	}

	private static void json(RoutingContext request, JsonObject body) {
		request.response().putHeader("content-type", "application/json").end(body.encodePrettily() + "\n");
	}

	private static void fail(RoutingContext request, Throwable failure, int httpStatus) {
		if (failure instanceof WigeongladeException known) {
			sendError(request, known.getCode().getHttpStatus(), known.getCode(), known.getExecutionState(),
					known.getMessage());
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
