package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A sound model runner: streams events with rising ids, goes on after Last-Event-Id,
 * drops a request whose connection closes, and runs as many requests at once as it has
 * slots. A test may replace what it does for single requests.
 */
final class Runner {

	final String id;

	final String service;

	final int slots;

	final Http.Server server;

	final List<Run> runs = new CopyOnWriteArrayList<>();

	private final Semaphore free;

	volatile int events = 20;

	volatile long eventMillis = 10;

	volatile int eventBytes = 30;

	volatile Special special = (run, request, connection) -> false;

	private final long born = System.currentTimeMillis();

	private int sequence;

	/** One run of a request. */
	static final class Run {

		final String requestId;

		final String uri;

		final long atMillis;

		volatile String outcome = "running";

		Run(String requestId, String uri, long atMillis) {
			this.requestId = requestId;
			this.uri = uri;
			this.atMillis = atMillis;
		}

	}

	/** Behaviour of a test for single requests. */
	interface Special {

		boolean handle(Run run, Http.Message request, Http.Connection connection) throws Exception;

	}

	Runner(String id, String service, int slots) throws IOException {
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.free = new Semaphore(slots, true);
		this.server = new Http.Server("127.0.0.1", 0, this::handle);
	}

	synchronized void register(Store store, String zone) {
		Map<String, Object> entry = new LinkedHashMap<>();
		entry.put("backend", this.service);
		entry.put("address", "127.0.0.1:" + this.server.port());
		entry.put("zone", zone);
		entry.put("version", "v1");
		entry.put("slots", this.slots);
		entry.put("state", "ready");
		entry.put("warmup-left-ms", 0);
		entry.put("born", this.born);
		entry.put("sequence", ++this.sequence);
		store.put("keyed.servers", this.id, Json.write(entry));
	}

	private void handle(Http.Message request, Http.Connection connection) throws Exception {
		String expected = request.header("Expect-Instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			connection.respond(421, "Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		if (request.uri().startsWith("/healthz")) {
			connection.respond(200, "Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		if (!this.free.tryAcquire(2, TimeUnit.SECONDS)) {
			connection.respond(503, "Not-Executed: 1\r\n", new byte[0]);
			return;
		}
		Run run = new Run(request.header("Request-Id"), request.uri(), System.currentTimeMillis());
		try {
			this.runs.add(run);
			byte[] late = connection.lateCopy;
			connection.lateCopy = null;
			if (late != null) {
				connection.send(late);
			}
			if (!this.special.handle(run, request, connection)) {
				stream(run, request, connection, this.events, this.eventMillis);
			}
		}
		catch (IOException ex) {
			run.outcome = "the connection was closed";
			throw ex;
		}
		finally {
			this.free.release();
		}
	}

	/** The data of an event of a request. */
	String data(String requestId, int number) {
		String text = requestId + ":" + number + " ";
		return text + "x".repeat(Math.max(0, this.eventBytes - text.length()));
	}

	/** The whole output of a batch item. */
	String output(String requestId) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < this.events; i++) {
			text.append((i > 0) ? "\n" : "").append(data(requestId, i));
		}
		return text.toString();
	}

	String headers(String requestId) {
		return "Request-Id: " + requestId + "\r\nResponse-Signature: " + this.id + "." + requestId + "\r\n";
	}

	void stream(Run run, Http.Message request, Http.Connection connection, int count, long millis) throws Exception {
		String last = request.header("Last-Event-Id");
		connection.send(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
				+ headers(run.requestId) + "\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		for (int i = last.isEmpty() ? 0 : Integer.parseInt(last) + 1; i < count; i++) {
			Thread.sleep(millis);
			String event = "id: " + i + "\ndata: " + data(run.requestId, i) + "\n\n";
			connection.send((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
		}
		connection.send("0\r\n\r\n".getBytes());
		run.outcome = "complete";
	}

}
