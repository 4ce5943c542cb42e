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
 * Listener of the callers' interface. Runs on the event loop that opens it.
 */
public final class CallerServer {

	private static final EventLogger LOG = EventLogger.of(CallerServer.class);

	private final Vertx vertx;

	private final CallerParts parts;

	private final LimitSettings limits;

	private final CompletionHandler completions;

	private final BatchHandler batches;

	private final ServiceHandler services;

	private final AtomicInteger inProgress = new AtomicInteger();

	private final AtomicInteger connections = new AtomicInteger();

	private volatile boolean stopping;

	private volatile HttpServer server;

	/**
	 * Creates the listener without opening it.
	 * @param vertx the event loops, not null
	 * @param parts the parts of the host, not null
	 */
	public CallerServer(Vertx vertx, CallerParts parts) {
		this.vertx = vertx;
		this.parts = parts;
		this.limits = (parts.settings().getLimits() != null) ? parts.settings().getLimits() : new LimitSettings();
		CallerAccess access = new CallerAccess(parts.configuration());
		KeyedCalls keyed = new KeyedCalls(parts.batch());
		this.completions = new CompletionHandler(access, parts, keyed, new JsonReader(this.limits.getMaxJsonDepth()));
		this.batches = new BatchHandler(access, parts.batch(), this.limits.getMaxBatchBodyBytes());
		this.services = new ServiceHandler(access, parts, keyed);
	}

	/**
	 * Opens the listener.
	 * @return completes when callers are served
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
		this.server = this.vertx.createHttpServer(options).connectionHandler(this::connected).requestHandler(router());
		return this.server.listen().mapEmpty();
	}

	/**
	 * Refuses new requests from now on; requests in progress go on.
	 */
	public void stopAccepting() {
		this.stopping = true;
	}

	/**
	 * Closes the listener. Requests in progress may go on for a while.
	 * @param limitMillis the time until connections are closed, in milliseconds
	 * @return completes when all connections are closed
	 */
	public Future<Void> shutdown(long limitMillis) {
		HttpServer current = this.server;
		return (current != null) ? current.shutdown(Math.max(1, limitMillis), TimeUnit.MILLISECONDS)
				: Future.succeededFuture();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return a count, at least 0
	 */
	public int getInProgress() {
		return this.inProgress.get();
	}

	/**
	 * Returns the port of the listener.
	 * @return a port, 0 before the start
	 */
	public int getPort() {
		HttpServer current = this.server;
		return (current != null) ? Math.max(0, current.actualPort()) : 0;
	}

	private Router router() {
		Router router = Router.router(this.vertx);
		router.route().handler(this::track);
		BodyHandler body = BodyHandler.create(false).setBodyLimit(this.limits.getMaxBodyBytes());
		router.post("/v1/completions").handler(body).handler((context) -> this.completions.handle(context, false));
		router.post("/v1/chat/completions").handler(body).handler((context) -> this.completions.handle(context, true));
		router.post("/v1/batches").handler(this.batches::submit);
		router.get("/v1/batches/:id").handler(this.batches::status);
		router.get("/v1/batches/:id/results").handler(this.batches::results);
		router.post("/v1/batches/:id/cancel").handler(this.batches::cancel);
		router.route("/services/*").handler(body).handler(this.services::handle);
		router.route().failureHandler(this::fail);
		router.errorHandler(404, (context) -> send(context, ErrorCode.NOT_FOUND, "no such path"));
		router.errorHandler(405, (context) -> send(context, ErrorCode.METHOD_INVALID, "method not supported here"));
		return router;
	}

	private void connected(HttpConnection connection) {
		if (this.connections.incrementAndGet() > this.limits.getMaxConnections()) {
			LOG.log(CallerEvent.CONNECTION_LIMIT, this.limits.getMaxConnections());
			connection.close();
		}
		connection.closeHandler((ignored) -> this.connections.decrementAndGet());
	}

	private void track(RoutingContext context) {
		this.inProgress.incrementAndGet();
		context.addEndHandler((ignored) -> this.inProgress.decrementAndGet());
		String id = CallerAccess.newRequestId();
		context.put(CallerAccess.REQUEST_ID, id);
		context.response().putHeader("X-Request-Id", id);
		if (this.stopping) {
			context.response().putHeader("Connection", "close");
			throw new RefusedException(ErrorCode.STOPPING, "this host is stopping", Duration.ofSeconds(1));
		}
		if (!this.parts.configured().getAsBoolean()) {
			// An older configuration than before a restart must not be used.
			throw new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE,
					"this host does not know the configuration in force yet", Duration.ofSeconds(1));
		}
		context.next();
	}

	private void fail(RoutingContext context) {
		Throwable failure = context.failure();
		if (failure == null || isHttpFailure(failure)) {
			boolean large = context.statusCode() == 413;
			send(context, large ? ErrorCode.TOO_LARGE : ErrorCode.REQUEST_INVALID,
					large ? "body is larger than " + this.limits.getMaxBodyBytes() + " bytes" : "malformed request");
			return;
		}
		WigeongladeException known = ErrorBody.wrap(failure);
		if (known.getCode() == ErrorCode.INTERNAL) {
			LOG.log(CallerEvent.INTERNAL, failure, CallerAccess.requestId(context));
		}
		if (known instanceof RefusedException) {
			this.parts.metrics().countRefusal(known.getCode());
		}
		ErrorBody.send(context.response(), known, CallerAccess.requestId(context));
	}

	private static boolean isHttpFailure(Throwable failure) {
		return failure instanceof HttpException;
	}

	private static void send(RoutingContext context, ErrorCode code, String message) {
		ErrorBody.send(context.response(), new InvalidRequestException(code, message), CallerAccess.requestId(context));
	}

}
