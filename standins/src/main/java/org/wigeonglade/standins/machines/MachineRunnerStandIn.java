package org.wigeonglade.standins.machines;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of a runner of the users' machines. Responds with server-sent events on
 * paths that contain {@code stream}, and with a plain body on all others. Supports fault
 * injection. Thread-safe.
 */
public final class MachineRunnerStandIn {

	/** Time from the start of a deadly request to the crash, in milliseconds. */
	private static final long CRASH_DELAY_MILLIS = 30;

	private final StandInServer server;

	private final String id;

	private final String service;

	private final int slots;

	private final List<Run> runs = new ArrayList<>();

	private final Set<HttpConnection> seenConnections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger running = new AtomicInteger();

	private volatile String version = "v1";

	private volatile int events = 5;

	private volatile long eventMillis = 5;

	private volatile Fault fault = Fault.NONE;

	private volatile int faultCount;

	private volatile boolean leaving;

	private volatile String requestLimit;

	private volatile String deadlyPart;

	private volatile long startedMillis = 1;

	private volatile Runnable crashListener = () -> {
	};

	private final Set<HttpConnection> openConnections = ConcurrentHashMap.newKeySet();

	private MachineRunnerStandIn(StandInServer server, String id, String service, int slots) {
		this.server = server;
		this.id = id;
		this.service = service;
		this.slots = slots;
	}

	/**
	 * Starts a runner on a free port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param id the id of its registration, not null
	 * @param service the service that it belongs to, not null
	 * @param slots the number of slots in its registration, at least 1
	 * @return the started stand-in, never null
	 */
	public static MachineRunnerStandIn start(Vertx vertx, String id, String service, int slots) {
		MachineRunnerStandIn runner = new MachineRunnerStandIn(StandInServer.create(vertx, 0), id, service, slots);
		Router router = Router.router(runner.server.getVertx());
		router.route().handler(BodyHandler.create(false));
		router.route().handler(runner::handle);
		runner.server.start(router);
		return runner;
	}

	/**
	 * Registers the runner with its own port.
	 * @param store the store, not null
	 * @param state {@code ready} or {@code draining}
	 */
	public void register(MachineStoreStandIn store, String state) {
		register(store, state, getPort());
	}

	/**
	 * Returns the port.
	 * @return the port of the listener
	 */
	public int getPort() {
		return this.server.getPort();
	}

	/**
	 * Registers the runner with the port of a proxy in front of it.
	 * @param store the store, not null
	 * @param state {@code ready} or {@code draining}
	 * @param port the port that hosts connect to
	 */
	public void register(MachineStoreStandIn store, String state, int port) {
		register(store, state, port, 1);
	}

	/**
	 * Registers the runner with a port and a start time.
	 * @param store the store, not null
	 * @param state {@code ready} or {@code draining}
	 * @param port the port that hosts connect to
	 * @param startedMillis the start time, in milliseconds since the epoch
	 */
	public void register(MachineStoreStandIn store, String state, int port, long startedMillis) {
		this.startedMillis = startedMillis;
		RunnerRegistration.of(this.id, this.service, port)
			.withVersion(this.version)
			.withSlots(this.slots)
			.withState(state)
			.withStart(startedMillis)
			.put(store);
	}

	/**
	 * Sets the version of the runner's software in later registrations.
	 * @param text the version, not null
	 */
	public void setVersion(String text) {
		this.version = text;
	}

	/**
	 * Sets the length and interval of streams.
	 * @param count the number of events, numbered from 0
	 * @param millis the time between events in milliseconds
	 */
	public void setEvents(int count, long millis) {
		this.events = count;
		this.eventMillis = millis;
	}

	/**
	 * Injects a fault into the next responses.
	 * @param next the fault, not null
	 * @param count the number of responses
	 */
	public void injectFault(Fault next, int count) {
		this.fault = next;
		this.faultCount = count;
	}

	/**
	 * Sets whether responses announce that the runner is leaving.
	 * @param value true to add the header {@code Server-Leaving}
	 */
	public void setLeaving(boolean value) {
		this.leaving = value;
	}

	/**
	 * Sets the limit of requests that responses name.
	 * @param requestsPerSecond the value of the header {@code Server-Limit}, or null for
	 * none
	 */
	public void setRequestLimit(String requestsPerSecond) {
		this.requestLimit = requestsPerSecond;
	}

	/**
	 * Sets a part of prompts that crashes the runner: all its connections are closed when
	 * it begins to run a request with the part.
	 * @param part the id of the part, or null for none
	 * @param onCrash called after each crash, not null
	 */
	public void setDeadlyPart(String part, Runnable onCrash) {
		this.crashListener = onCrash;
		this.deadlyPart = part;
	}

	/**
	 * Returns the requests whose execution has begun.
	 * @return a copy in chronological order
	 */
	public synchronized List<Run> getRuns() {
		return List.copyOf(this.runs);
	}

	/**
	 * Returns the number of streams in progress.
	 * @return the number, at least 0
	 */
	public int getRunning() {
		return this.running.get();
	}

	/**
	 * Stops the HTTP server of the runner.
	 */
	public void stop() {
		this.server.stop();
	}

	private void handle(RoutingContext context) {
		HttpServerRequest request = context.request();
		HttpServerResponse response = context.response();
		if (this.openConnections.add(request.connection())) {
			request.connection().closeHandler((v) -> this.openConnections.remove(request.connection()));
		}
		String expected = request.getHeader("Expect-Instance");
		if (expected != null && !expected.equals(this.id)) {
			response.setStatusCode(421).putHeader("Instance-Id", this.id).end();
			return;
		}
		if (request.path().equals("/api/report")) {
			response.putHeader("Content-Type", "application/json")
				.end(new JsonObject().put("stage", "both").put("born", this.startedMillis).encode());
			return;
		}
		String requestId = request.getHeader("Request-Id");
		if (requestId == null) {
			response.setStatusCode(400).putHeader("Not-Executed", "1").end();
			return;
		}
		if (this.requestLimit != null) {
			response.putHeader("Server-Limit", this.requestLimit);
		}
		if (this.leaving) {
			response.putHeader("Server-Leaving", "1");
		}
		Fault injected = nextFault();
		if (injected == Fault.FULL) {
			response.setStatusCode(503).putHeader("Not-Executed", "1").end();
			return;
		}
		synchronized (this) {
			this.runs.add(new Run(requestId, request.uri(), request.getHeader("Last-Event-Id"),
					request.getHeader("Deadline-Ms"), Objects.toString(context.body().asString(), ""),
					request.headers().getAll("Tenant"), request.headers().contains("Authorization")));
		}
		if (injected == Fault.SILENT) {
			return;
		}
		if (hasDeadlyPart(request)) {
			this.server.getVertx().setTimer(CRASH_DELAY_MILLIS, (t) -> crash());
			return;
		}
		if (injected == Fault.RESET
				|| (injected == Fault.RESET_IF_KEPT && !this.seenConnections.add(request.connection()))) {
			request.connection().close();
			return;
		}
		response.putHeader("Request-Id", (injected == Fault.CROSSED) ? "another-request" : requestId)
			.putHeader("Response-Signature", "signed-by-" + this.id);
		if (injected == Fault.FAILING || injected == Fault.IMPOSSIBLE) {
			response.setStatusCode((injected == Fault.FAILING) ? 500 : 422).end("failed");
		}
		else if (request.path().contains("stream")) {
			String last = request.getHeader("Last-Event-Id");
			stream(response, (last != null) ? Integer.parseInt(last) + 1 : 0, injected);
		}
		else {
			response.end("answer of " + requestId);
		}
	}

	private boolean hasDeadlyPart(HttpServerRequest request) {
		String part = this.deadlyPart;
		String prompt = request.getHeader("Prefix-Hash");
		return part != null && prompt != null
				&& Arrays.stream(prompt.split(",")).anyMatch((entry) -> entry.startsWith(part + ":"));
	}

	private void crash() {
		List.copyOf(this.openConnections).forEach(HttpConnection::close);
		this.crashListener.run();
	}

	private void stream(HttpServerResponse response, int first, Fault injected) {
		response.setChunked(true).putHeader("Content-Type", "text/event-stream");
		this.running.incrementAndGet();
		boolean[] ended = new boolean[1];
		response.closeHandler((v) -> {
			if (!ended[0]) {
				ended[0] = true;
				this.running.decrementAndGet();
			}
		});
		send(response, first, injected, ended);
	}

	private void send(HttpServerResponse response, int number, Fault injected, boolean[] ended) {
		if (ended[0]) {
			return;
		}
		if (injected == Fault.BREAK_IN_EVENT && number == this.events / 2) {
			response.write("id: " + number + "\nda").onComplete((v) -> response.reset());
			return;
		}
		if (number >= this.events) {
			ended[0] = true;
			this.running.decrementAndGet();
			response.end();
			return;
		}
		response.write("id: " + number + "\ndata: word" + number + "\n\n");
		this.server.getVertx()
			.setTimer(Math.max(1, this.eventMillis), (t) -> send(response, number + 1, injected, ended));
	}

	private synchronized Fault nextFault() {
		if (this.faultCount > 0) {
			this.faultCount--;
			return this.fault;
		}
		return Fault.NONE;
	}

	/**
	 * Faults that can be injected into a response.
	 */
	public enum Fault {

		/** No fault. */
		NONE,

		/** Status 503 without execution, as from a runner at capacity. */
		FULL,

		/** Status 500 after execution has begun. */
		FAILING,

		/** Status 422: the request can never succeed, so retries are useless. */
		IMPOSSIBLE,

		/** The connection is closed without a response. */
		RESET,

		/**
		 * As {@link #RESET}, except for the first request with this fault on a
		 * connection.
		 */
		RESET_IF_KEPT,

		/** No response is sent and the connection stays open. */
		SILENT,

		/** The response has the id of another request. */
		CROSSED,

		/** The stream is reset in the middle of an event. */
		BREAK_IN_EVENT

	}

	/**
	 * Request whose execution has begun.
	 *
	 * @param requestId the header {@code Request-Id}
	 * @param uri the path and query
	 * @param resumeAfter the header {@code Last-Event-Id}, or null
	 * @param deadline the header {@code Deadline-Ms}, or null
	 * @param body the body as text
	 * @param workspaces the values of the header {@code Tenant}
	 * @param authorized whether there was a header {@code Authorization}
	 */
	public record Run(String requestId, String uri, String resumeAfter, String deadline, String body,
			List<String> workspaces, boolean authorized) {

	}

}
