package org.wigeonglade.standins.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.standins.FaultSchedule;
import org.wigeonglade.standins.StandInResponse;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of an HTTP service that echoes method, path and body of every call as a
 * JSON object and records the calls that it executed. Thread-safe.
 */
public final class ServiceStandIn {

	private final StandInServer server;

	private final FaultSchedule faults = new FaultSchedule();

	private final List<Call> calls = new ArrayList<>();

	private volatile long delayMillis;

	private volatile int status = 200;

	private ServiceStandIn(StandInServer server) {
		this.server = server;
	}

	/**
	 * Starts a service on a free port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @return the started stand-in, never null
	 */
	public static ServiceStandIn start(Vertx vertx) {
		return start(vertx, 0);
	}

	/**
	 * Starts a service on a given port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param port the port, 0 for a free one
	 * @return the started stand-in, never null
	 */
	public static ServiceStandIn start(Vertx vertx, int port) {
		ServiceStandIn service = new ServiceStandIn(StandInServer.create(vertx, port));
		Router router = Router.router(service.server.getVertx());
		router.route().handler(BodyHandler.create(false));
		router.route().handler(service::handle);
		service.server.start(router);
		return service;
	}

	/**
	 * Returns the port.
	 * @return the port of the listener
	 */
	public int port() {
		return this.server.getPort();
	}

	/**
	 * Returns the address.
	 * @return {@code ip:port}, never null
	 */
	public String address() {
		return "127.0.0.1:" + port();
	}

	/**
	 * Returns the fault schedule, in which the name of a call is its path.
	 * @return the schedule, never null
	 */
	public FaultSchedule faults() {
		return this.faults;
	}

	/**
	 * Sets the delay before a call is executed.
	 * @param millis milliseconds, 0 for none
	 */
	public void delay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Sets the status of responses to executed calls.
	 * @param value the HTTP status
	 */
	public void status(int value) {
		this.status = value;
	}

	/**
	 * Returns the executed calls.
	 * @return a copy in order of execution
	 */
	public synchronized List<Call> calls() {
		return List.copyOf(this.calls);
	}

	/**
	 * Returns the number of executions by idempotency key.
	 * @return key to number; calls without a key are omitted
	 */
	public synchronized Map<String, Integer> runsByKey() {
		Map<String, Integer> runs = new TreeMap<>();
		this.calls.stream()
			.filter((call) -> !call.idempotencyKey().isEmpty())
			.forEach((call) -> runs.merge(call.idempotencyKey(), 1, Integer::sum));
		return runs;
	}

	/**
	 * Closes the listener and all connections immediately.
	 */
	public void kill() {
		this.server.closeNowAndRefuse();
	}

	/**
	 * Listens again on the same port.
	 */
	public void restart() {
		StandInServer.await(this.server.listen());
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

	private void handle(RoutingContext context) {
		long delay = this.delayMillis;
		if (delay <= 0) {
			answer(context);
		}
		else {
			this.server.getVertx().setTimer(delay, (id) -> answer(context));
		}
	}

	private void answer(RoutingContext context) {
		context.response().setStatusCode(this.status);
		StandInResponse.respond(context, this.faults.next(context.request().path()), () -> run(context));
	}

	private synchronized JsonObject run(RoutingContext context) {
		String body = (context.body().asString() != null) ? context.body().asString() : "";
		String key = context.request().getHeader("idempotency-key");
		String requestId = context.request().getHeader("x-request-id");
		Call call = new Call(context.request().method().name(), context.request().uri(), body, (key != null) ? key : "",
				(requestId != null) ? requestId : "", System.nanoTime());
		this.calls.add(call);
		return new JsonObject().put("method", call.method()).put("path", call.path()).put("body", body);
	}

	/**
	 * Executed call.
	 *
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param body the body as text
	 * @param idempotencyKey the idempotency key, or empty
	 * @param requestId the request id, or empty
	 * @param nanos the monotonic time in nanoseconds
	 */
	public record Call(String method, String path, String body, String idempotencyKey, String requestId, long nanos) {
	}

}
