package org.wigeonglade.entry.caller;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import io.vertx.ext.web.handler.HttpException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.entry.completion.JsonReader;
import org.wigeonglade.schema.generated.settings.LimitSettings;

/**
 * HTTP server of the API for callers. Runs on the event loop that starts it.
 */
public final class CallerServer {

	private static final EventLogger LOG = EventLogger.of(CallerServer.class);

	private final Vertx vertx;

	private final CallerContext parts;

	private final LimitSettings limits;

	private final CompletionHandler completionHandler;

	private final BatchHandler batchHandler;

	private final ServiceHandler serviceHandler;

	private final RequestTracker requests;

	private final AtomicInteger openConnections = new AtomicInteger();

	private volatile HttpServer server;

	/**
	 * Creates a server that does not listen before {@link #start()}.
	 * @param vertx the Vert.x instance, not null
	 * @param parts the components of the host, not null
	 */
	public CallerServer(Vertx vertx, CallerContext parts) {
		this.vertx = vertx;
		this.parts = parts;
		this.limits = (parts.settings().getLimits() != null) ? parts.settings().getLimits() : new LimitSettings();
		this.requests = new RequestTracker(parts.ticker());
		CallerAuthenticator authenticator = new CallerAuthenticator(parts.configuration());
		KeyedCalls keyedCalls = new KeyedCalls(parts.batch(), this.requests);
		this.completionHandler = new CompletionHandler(authenticator, parts, keyedCalls,
				new JsonReader(this.limits.getMaxJsonDepth()), this.requests);
		this.batchHandler = new BatchHandler(authenticator, parts.batch(), this.limits.getMaxBatchBodyBytes());
		this.serviceHandler = new ServiceHandler(authenticator, parts, keyedCalls, this.requests);
	}

	/**
	 * Starts to listen on the caller address of the settings.
	 * @return completes when connections are accepted
	 */
	public Future<Void> start() {
		String address = this.parts.settings().getCallerAddress();
		int colon = address.lastIndexOf(':');
		HttpServerOptions options = new HttpServerOptions().setHost(address.substring(0, colon))
			.setPort(Integer.parseInt(address.substring(colon + 1)))
			.setMaxHeaderSize(this.limits.getMaxHeaderBytes())
			.setIdleTimeout(this.limits.getIdleTimeoutMs())
			.setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
			.setTcpNoDelay(true);
		this.server = this.vertx.createHttpServer(options)
			.connectionHandler(this::handleConnection)
			.requestHandler(router());
		return this.server.listen().mapEmpty();
	}

	/**
	 * Begins to drain: from the given times on, new requests are refused and those in
	 * progress are answered. A request that is read completely in between is refused if
	 * its time limit is later.
	 * @param period the times, not null
	 */
	public void drain(DrainPeriod period) {
		this.requests.drain(period);
		long delay = period.getTimeToAnswer(this.parts.ticker().nanos()).toMillis();
		this.vertx.setTimer(Math.max(1, delay), (id) -> this.requests.interruptAll());
	}

	/**
	 * Stops listening and lets requests in progress finish within a time limit.
	 * @param limitMillis the time limit in milliseconds, after which connections are
	 * closed
	 * @return completes when all connections are closed
	 */
	public Future<Void> shutdown(long limitMillis) {
		HttpServer current = this.server;
		return (current != null) ? current.shutdown(Math.max(1, limitMillis), TimeUnit.MILLISECONDS)
				: Future.succeededFuture();
	}

	/**
	 * Returns the number of requests whose response is not complete.
	 * @return the count, at least 0
	 */
	public int getRequestsInProgress() {
		return this.requests.getCount();
	}

	/**
	 * Returns the number of requests that were answered before they were complete because
	 * the time of a planned stop was over.
	 * @return the count, at least 0
	 */
	public int getInterruptedRequests() {
		return this.requests.getInterruptedCount();
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the actual port, 0 before the start
	 */
	public int getPort() {
		HttpServer current = this.server;
		return (current != null) ? Math.max(0, current.actualPort()) : 0;
	}

	private Router router() {
		Router router = Router.router(this.vertx);
		router.route().handler(this::beginRequest);
		BodyHandler body = BodyHandler.create(false).setBodyLimit(this.limits.getMaxBodyBytes());
		router.post("/v1/completions")
			.handler(body)
			.handler((context) -> this.completionHandler.handle(context, false));
		router.post("/v1/chat/completions")
			.handler(body)
			.handler((context) -> this.completionHandler.handle(context, true));
		router.post("/v1/batches").handler(this.batchHandler::submit);
		router.get("/v1/batches/:id").handler(this.batchHandler::status);
		router.get("/v1/batches/:id/results").handler(this.batchHandler::results);
		router.post("/v1/batches/:id/cancel").handler(this.batchHandler::cancel);
		router.route("/services/*").handler(body).handler(this.serviceHandler::handle);
		router.route().failureHandler(this::sendFailure);
		router.errorHandler(404, (context) -> sendError(context, ErrorCode.NOT_FOUND, "no such path"));
		router.errorHandler(405,
				(context) -> sendError(context, ErrorCode.METHOD_INVALID, "method not supported here"));
		return router;
	}

	private void handleConnection(HttpConnection connection) {
		if (this.openConnections.incrementAndGet() > this.limits.getMaxConnections()) {
			LOG.log(CallerEvent.CONNECTION_LIMIT, this.limits.getMaxConnections());
			connection.close();
		}
		connection.closeHandler((ignored) -> this.openConnections.decrementAndGet());
	}

	private void beginRequest(RoutingContext context) {
		this.requests.begin(context);
		String id = CallerAuthenticator.newRequestId();
		context.put(CallerAuthenticator.REQUEST_ID, id);
		context.response().putHeader("X-Request-Id", id);
		this.requests.checkArrival();
		if (!this.parts.configurationKnown().getAsBoolean()) {
			// Until the current version has been read, the host may only have a version
			// that is older than the one it used before a restart.
			throw new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE,
					"this host does not know the configuration in force yet", Duration.ofSeconds(1));
		}
		context.next();
	}

	private void sendFailure(RoutingContext context) {
		Throwable failure = context.failure();
		if (failure == null || isHttpFailure(failure)) {
			boolean tooLarge = context.statusCode() == 413;
			sendError(context, tooLarge ? ErrorCode.TOO_LARGE : ErrorCode.REQUEST_INVALID,
					tooLarge ? "body is larger than " + this.limits.getMaxBodyBytes() + " bytes" : "malformed request");
			return;
		}
		WigeongladeException error = ErrorBody.wrap(failure);
		if (error.getCode() == ErrorCode.STOPPING && !context.response().headWritten()) {
			context.response().putHeader("Connection", "close");
		}
		if (error.getCode() == ErrorCode.INTERNAL) {
			LOG.log(CallerEvent.INTERNAL, failure, CallerAuthenticator.requestId(context));
		}
		if (error instanceof RefusedException) {
			this.parts.metrics().countRefusal(error.getCode());
		}
		ErrorBody.send(context.response(), error, CallerAuthenticator.requestId(context));
	}

	private static boolean isHttpFailure(Throwable failure) {
		return failure instanceof HttpException;
	}

	private static void sendError(RoutingContext context, ErrorCode code, String message) {
		ErrorBody.send(context.response(), new InvalidRequestException(code, message),
				CallerAuthenticator.requestId(context));
	}

}
