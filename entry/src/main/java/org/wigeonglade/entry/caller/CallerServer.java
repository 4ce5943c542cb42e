package org.wigeonglade.entry.caller;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.completion.JsonReader;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.LimitSettings;

/**
 * Listener of the callers' interface.
 */
public final class CallerServer {

	private static final EventLogger LOG = EventLogger.of(CallerServer.class);

	private final Vertx vertx;

	private final HostSettings settings;

	private final LimitSettings limits;

	private final CompletionHandler completions;

	private final AtomicInteger inProgress = new AtomicInteger();

	private volatile HttpServer server;

	/**
	 * Creates the listener without opening it.
	 * @param vertx the event loops, not null
	 * @param settings the settings of the host, not null
	 * @param ticker the clocks, not null
	 * @param configuration the configuration in force, not null
	 * @param online runs completions, not null
	 */
	public CallerServer(Vertx vertx, HostSettings settings, Ticker ticker, ConfigurationSource configuration,
			OnlineRuntime online) {
		this.vertx = vertx;
		this.settings = settings;
		this.limits = (settings.getLimits() != null) ? settings.getLimits() : new LimitSettings();
		CallerAccess access = new CallerAccess(configuration);
		this.completions = new CompletionHandler(access, online, ticker, new JsonReader(this.limits.getMaxJsonDepth()));
	}

	/**
	 * Opens the listener.
	 * @return completes when callers are served
	 */
	public Future<Void> start() {
		String address = this.settings.getCallerAddress();
		int colon = address.lastIndexOf(':');
		HttpServerOptions options = new HttpServerOptions().setHost(address.substring(0, colon))
			.setPort(Integer.parseInt(address.substring(colon + 1)))
			.setMaxHeaderSize(this.limits.getMaxHeaderBytes())
			.setTcpNoDelay(true);
		this.server = this.vertx.createHttpServer(options).requestHandler(router());
		return this.server.listen().mapEmpty();
	}

	/**
	 * Stops taking new connections and requests; requests in progress go on.
	 */
	public void stopAccepting() {
		// The listener itself is closed with the event loops.
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
		router.route().failureHandler(this::fail);
		router.errorHandler(404, (context) -> send(context, ErrorCode.NOT_FOUND, "no such path"));
		router.errorHandler(405, (context) -> send(context, ErrorCode.METHOD_INVALID, "method not supported here"));
		return router;
	}

	private void track(RoutingContext context) {
		this.inProgress.incrementAndGet();
		context.addEndHandler((ignored) -> this.inProgress.decrementAndGet());
		context.put(CallerAccess.REQUEST_ID, CallerAccess.newRequestId());
		context.next();
	}

	private void fail(RoutingContext context) {
		Throwable failure = context.failure();
		if (failure == null) {
			boolean large = context.statusCode() == 413;
			send(context, large ? ErrorCode.TOO_LARGE : ErrorCode.REQUEST_INVALID,
					large ? "body is larger than " + this.limits.getMaxBodyBytes() + " bytes" : "malformed request");
			return;
		}
		WigeongladeException known = ErrorBody.wrap(failure);
		if (known.getCode() == ErrorCode.INTERNAL) {
			LOG.log(CallerEvent.INTERNAL, failure, CallerAccess.requestId(context));
		}
		ErrorBody.send(context.response(), known, CallerAccess.requestId(context));
	}

	private static void send(RoutingContext context, ErrorCode code, String message) {
		ErrorBody.send(context.response(), new InvalidRequestException(code, message), CallerAccess.requestId(context));
	}

}
