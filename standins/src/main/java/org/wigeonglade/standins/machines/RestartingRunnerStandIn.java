package org.wigeonglade.standins.machines;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.standins.net.ReceivedRequest;

/**
 * Test double of a runner that ends and starts again under its id and on its port, with
 * another version of its software if asked to. Each event names the body of the request,
 * the version and the number of the event, so that a caller can tell what produced it.
 * Thread-safe.
 */
public final class RestartingRunnerStandIn implements AutoCloseable {

	private static final String REPORT_PATH = "/api/report";

	private static final long SLOT_TIMEOUT_MILLIS = 2_000;

	private static final int BACKLOG = 200;

	private static final int MAX_BINDS = 100;

	private static final long BIND_INTERVAL_NANOS = 20_000_000;

	private static final AtomicLong LAST_START = new AtomicLong();

	private final String id;

	private final String service;

	private final Semaphore slots;

	private final int slotCount;

	private final List<Run> runs = new CopyOnWriteArrayList<>();

	/** Number of responses with status 500 by the id of their request. */
	private final Map<String, Integer> failures = new ConcurrentHashMap<>();

	private final AtomicInteger pendingDisruptions = new AtomicInteger();

	private volatile Disruption disruption = Disruption.RESET;

	private volatile Lifetime lifetime;

	private volatile int events = 25;

	private volatile long eventMillis = 20;

	private volatile boolean reporting = true;

	/** Answers the requests that run, or null for streams of events. */
	private final RunnerResponder responder;

	private RestartingRunnerStandIn(String id, String service, int slots, RunnerResponder responder) {
		this.id = id;
		this.service = service;
		this.responder = responder;
		this.slotCount = slots;
		this.slots = new Semaphore(slots, true);
	}

	/**
	 * Starts a runner on a free loopback port.
	 * @param id the id of its registration, not null
	 * @param service the service that it belongs to, not null
	 * @param slots the number of requests that it runs at the same time, at least 1
	 * @param version the version of its software, not null
	 * @return the started stand-in, never null
	 * @throws IOException if no port can be opened
	 */
	public static RestartingRunnerStandIn start(String id, String service, int slots, String version)
			throws IOException {
		return start(id, service, slots, version, null);
	}

	/**
	 * Starts a runner on a free loopback port whose requests are answered by a responder.
	 * @param id the id of its registration, not null
	 * @param service the service that it belongs to, not null
	 * @param slots the number of requests that it runs at the same time, at least 1
	 * @param version the version of its software, not null
	 * @param responder answers the requests that run, or null for streams of events
	 * @return the started stand-in, never null
	 * @throws IOException if no port can be opened
	 */
	public static RestartingRunnerStandIn start(String id, String service, int slots, String version,
			RunnerResponder responder) throws IOException {
		RestartingRunnerStandIn runner = new RestartingRunnerStandIn(id, service, slots, responder);
		runner.lifetime = runner.new Lifetime(0, version);
		return runner;
	}

	/**
	 * Registers the present lifetime.
	 * @param store the store, not null
	 */
	public void register(MachineStoreStandIn store) {
		Lifetime current = this.lifetime;
		RunnerRegistration.of(this.id, this.service, current.port)
			.withVersion(current.version)
			.withSlots(this.slotCount)
			.withStart(current.startedMillis)
			.put(store);
	}

	/**
	 * Ends the process: nothing listens, and all connections are reset.
	 */
	public void stop() {
		this.lifetime.close();
	}

	/**
	 * Starts the process again under the same id and on the same port. It is registered
	 * by the next call of {@link #register(MachineStoreStandIn)} only.
	 * @param version the version of its software, not null
	 * @throws IOException if the port cannot be opened
	 */
	public void restart(String version) throws IOException {
		stop();
		this.lifetime = new Lifetime(this.lifetime.port, version);
	}

	/**
	 * Resets all connections.
	 */
	public void resetConnections() {
		this.lifetime.resetConnections();
	}

	/**
	 * Sets the length and interval of streams.
	 * @param count the number of events, numbered from 0
	 * @param millis the time before each event in milliseconds
	 */
	public void setEvents(int count, long millis) {
		this.events = count;
		this.eventMillis = millis;
	}

	/**
	 * Sets whether the runner reports about itself.
	 * @param value false to answer as to a request without an id
	 */
	public void setReporting(boolean value) {
		this.reporting = value;
	}

	/**
	 * Disrupts the next responses.
	 * @param next what happens to them, not null
	 * @param count the number of responses
	 */
	public void disrupt(Disruption next, int count) {
		this.disruption = next;
		this.pendingDisruptions.set(count);
	}

	/**
	 * Returns the version of the present lifetime.
	 * @return the version, never null
	 */
	public String getVersion() {
		return this.lifetime.version;
	}

	/**
	 * Returns whether the process is running.
	 * @return false from its end until it is started again
	 */
	public boolean isRunning() {
		return !this.lifetime.ended;
	}

	/**
	 * Returns the requests whose execution has begun in any lifetime.
	 * @return a live view in chronological order
	 */
	public List<Run> getRuns() {
		return this.runs;
	}

	/**
	 * Returns how often the runner has answered a request with status 500, in any
	 * lifetime.
	 * @param requestId the id of the request, not null
	 * @return the number of responses
	 */
	public int countFailures(String requestId) {
		return this.failures.getOrDefault(requestId, 0);
	}

	@Override
	public void close() {
		stop();
	}

	/**
	 * Resets a connection.
	 * @param socket the connection, not null
	 */
	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The connection is closed already.
		}
	}

	/**
	 * What happens to a response.
	 */
	public enum Disruption {

		/** The connection is reset after half of the events. */
		RESET,

		/** The connection is reset after the last event, before the end of the body. */
		RESET_BEFORE_END,

		/** The connection is reset within an event. */
		RESET_IN_EVENT,

		/** The connection is reset within a chunk. */
		RESET_IN_CHUNK,

		/** The body has no length and is closed after half of the events, in an event. */
		CLOSE_IN_EVENT,

		/** A chunk of the stream is the head of an error response. */
		ERROR_HEAD_IN_STREAM,

		/** A chunk of the stream is the text of an error. */
		ERROR_TEXT_IN_STREAM,

		/** An event of the stream has data, but no id. */
		EVENT_WITHOUT_ID,

		/** The response has status 500. */
		STATUS_500,

		/** The response has status 502 and the content type of a stream. */
		STATUS_502_AS_STREAM;

		/**
		 * Returns whether the runner sends an error, rather than breaking off.
		 * @return true for errors within a stream and instead of one
		 */
		public boolean isError() {
			return switch (this) {
				case RESET, RESET_BEFORE_END, RESET_IN_EVENT, RESET_IN_CHUNK, CLOSE_IN_EVENT -> false;
				case ERROR_HEAD_IN_STREAM, ERROR_TEXT_IN_STREAM, EVENT_WITHOUT_ID, STATUS_500, STATUS_502_AS_STREAM ->
					true;
			};
		}

	}

	/**
	 * Request whose execution has begun.
	 *
	 * @param requestId the header {@code Request-Id}
	 * @param subject the body of the request
	 * @param version the version of the software that runs it
	 * @param resumeAfter the header {@code Last-Event-Id}, empty if there is none
	 */
	public record Run(String requestId, String subject, String version, String resumeAfter) {

	}

	/**
	 * One process of the runner.
	 */
	private final class Lifetime {

		private final ServerSocket listener;

		private final int port;

		private final String version;

		private final long startedMillis;

		private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

		private volatile boolean ended;

		private Lifetime(int port, String version) throws IOException {
			this.listener = listen(port);
			this.port = this.listener.getLocalPort();
			this.version = version;
			this.startedMillis = LAST_START.updateAndGet((last) -> Math.max(last + 1, System.currentTimeMillis()));
			Thread.ofVirtual().start(this::accept);
		}

		// The port of a process that has just ended may stay in use for a moment.
		private static ServerSocket listen(int port) throws IOException {
			InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
			for (int i = 1;; i++) {
				ServerSocket socket = new ServerSocket();
				socket.setReuseAddress(true);
				try {
					socket.bind(address, BACKLOG);
					return socket;
				}
				catch (BindException ex) {
					socket.close();
					if (i == MAX_BINDS) {
						throw ex;
					}
					LockSupport.parkNanos(BIND_INTERVAL_NANOS);
				}
			}
		}

		private void accept() {
			while (!this.ended) {
				try {
					Socket socket = this.listener.accept();
					socket.setTcpNoDelay(true);
					this.connections.add(socket);
					Thread.ofVirtual().start(() -> serve(socket));
				}
				catch (IOException ex) {
					if (!this.ended) {
						throw new IllegalStateException("runner stand-in failed to accept a connection", ex);
					}
				}
			}
			resetConnections();
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream input = new BufferedInputStream(socket.getInputStream());
				boolean kept = true;
				while (kept && !this.ended) {
					Optional<ReceivedRequest> request = ReceivedRequest.read(input);
					kept = request.isPresent() && answer(request.get(), socket);
				}
			}
			catch (IOException ex) {
				// The client has closed the connection, or it was reset by a test.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				this.connections.remove(socket);
			}
		}

		// Returns whether the connection may carry another request.
		private boolean answer(ReceivedRequest request, Socket socket) throws IOException, InterruptedException {
			OutputStream output = socket.getOutputStream();
			RunnerResponder responder = RestartingRunnerStandIn.this.responder;
			if (responder != null) {
				responder.received(request, socket);
			}
			String expected = request.header("Expect-Instance");
			if (!expected.isEmpty() && !expected.equals(RestartingRunnerStandIn.this.id)) {
				write(output, head(421, "Instance-Id: " + RestartingRunnerStandIn.this.id + "\r\n", 0));
				return true;
			}
			if (request.path().equals(REPORT_PATH) && RestartingRunnerStandIn.this.reporting) {
				String report = new JsonObject().put("stage", "both").put("born", this.startedMillis).encode();
				write(output, head(200, "Content-Type: application/json\r\n", report.length()) + report);
				return true;
			}
			if (request.header("Request-Id").isEmpty()) {
				write(output, head(400, "Not-Executed: 1\r\n", 0));
				return true;
			}
			if (!RestartingRunnerStandIn.this.slots.tryAcquire(SLOT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
				write(output, head(503, "Not-Executed: 1\r\n", 0));
				return true;
			}
			try {
				return (responder != null) ? responder.respond(request, this.version, socket)
						: run(request, socket, output);
			}
			finally {
				RestartingRunnerStandIn.this.slots.release();
			}
		}

		private boolean run(ReceivedRequest request, Socket socket, OutputStream output)
				throws IOException, InterruptedException {
			String subject = new String(request.body(), StandardCharsets.UTF_8);
			String last = request.header("Last-Event-Id");
			RestartingRunnerStandIn.this.runs.add(new Run(request.header("Request-Id"), subject, this.version, last));
			String headers = "Request-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: "
					+ RestartingRunnerStandIn.this.id + "\r\n";
			if (!request.path().contains("stream")) {
				write(output, head(200, headers, subject.length()) + subject);
				return true;
			}
			Disruption next = nextDisruption();
			if (next == Disruption.STATUS_500) {
				RestartingRunnerStandIn.this.failures.merge(request.header("Request-Id"), 1, Integer::sum);
			}
			if (next == Disruption.STATUS_500 || next == Disruption.STATUS_502_AS_STREAM) {
				String error = "data: the engine has failed\n\n";
				String type = (next == Disruption.STATUS_500) ? "" : "Content-Type: text/event-stream\r\n";
				write(output,
						head((next == Disruption.STATUS_500) ? 500 : 502, headers + type, error.length()) + error);
				return true;
			}
			boolean chunked = next != Disruption.CLOSE_IN_EVENT;
			write(output, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + headers
					+ (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
			int first = last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
			int count = RestartingRunnerStandIn.this.events;
			int disruptedAt = (next != null) ? first + (count - first) / 2 : Integer.MAX_VALUE;
			for (int i = first; i < count; i++) {
				Thread.sleep(RestartingRunnerStandIn.this.eventMillis);
				String event = "id: " + i + "\ndata: " + subject + " " + this.version + " " + i + "\n\n";
				if (i == disruptedAt) {
					disrupt(next, event, socket, output);
				}
				write(output, chunked ? chunk(event) : event);
			}
			if (next == Disruption.RESET_BEFORE_END) {
				reset(socket);
			}
			if (chunked) {
				write(output, "0\r\n\r\n");
			}
			return chunked;
		}

		private Disruption nextDisruption() {
			AtomicInteger pending = RestartingRunnerStandIn.this.pendingDisruptions;
			return (pending.getAndUpdate((left) -> Math.max(0, left - 1)) > 0) ? RestartingRunnerStandIn.this.disruption
					: null;
		}

		private void disrupt(Disruption next, String event, Socket socket, OutputStream output) throws IOException {
			String part = event.substring(0, event.length() / 2);
			switch (next) {
				case RESET -> reset(socket);
				case RESET_IN_EVENT -> {
					write(output, chunk(part));
					reset(socket);
				}
				case RESET_IN_CHUNK -> {
					write(output, Integer.toHexString(event.length()) + "\r\n" + part);
					reset(socket);
				}
				case CLOSE_IN_EVENT -> {
					write(output, part);
					socket.close();
				}
				case ERROR_HEAD_IN_STREAM ->
					write(output, chunk("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"));
				case ERROR_TEXT_IN_STREAM -> write(output, chunk("upstream connect error\n\n"));
				case EVENT_WITHOUT_ID -> write(output, chunk("data: the engine has failed\n\n"));
				case RESET_BEFORE_END -> {
					// The events themselves are sound.
				}
				case STATUS_500, STATUS_502_AS_STREAM -> throw new IllegalStateException("not within a stream");
			}
		}

		private void close() {
			this.ended = true;
			try {
				this.listener.close();
			}
			catch (IOException ex) {
				throw new IllegalStateException("runner stand-in failed to close its listener", ex);
			}
			resetConnections();
		}

		private void resetConnections() {
			this.connections.forEach(RestartingRunnerStandIn::reset);
		}

		private static String chunk(String content) {
			return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
		}

		private static String head(int status, String headers, int length) {
			return "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + length + "\r\n\r\n";
		}

		private static void write(OutputStream output, String text) throws IOException {
			output.write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

	}

}
