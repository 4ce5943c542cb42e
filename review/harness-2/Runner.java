import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Stand-in of a runner that streams events. It can crash, which resets all of its
 * connections, and start again under its id and address.
 */
final class Runner {

	static final int HEARTBEAT_MILLIS = 1_200;

	private static final int MISSED_HEARTBEATS = 3;

	private static final AtomicLong LAST_START = new AtomicLong();

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private final Store store;

	private final Consumer<Run> listener;

	private volatile int events = 20;

	private volatile int eventMillis = 20;

	private volatile double shedShare;

	private volatile Life life;

	/**
	 * A request whose execution has begun.
	 *
	 * @param runner the id of the runner
	 * @param version the version of its software
	 * @param born the start of the process
	 * @param request the request
	 * @param atMillis the time at which it began
	 */
	record Run(String runner, String version, long born, Wire.Message request, long atMillis) {

	}

	Runner(String id, String service, int slots, Store store, Consumer<Run> listener) {
		this(id, service, "zone-a", slots, store, listener);
	}

	Runner(String id, String service, String zone, int slots, Store store, Consumer<Run> listener) {
		this.zone = zone;
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.store = store;
		this.listener = listener;
	}

	String getId() {
		return this.id;
	}

	void setEvents(int count, int millis) {
		this.events = count;
		this.eventMillis = millis;
	}

	// Sets the share of all requests that the runner refuses without running them.
	void setShedShare(double share) {
		this.shedShare = share;
	}

	boolean isUp() {
		return this.life != null && !this.life.ended;
	}

	int getRunning() {
		return isUp() ? this.life.running.get() : 0;
	}

	/**
	 * Starts the process, at the address that it had before.
	 * @param version the version of its software
	 * @param registerAfterMillis the time from its start to its first heartbeat
	 * @throws IOException if the address is in use
	 */
	void start(String version, int registerAfterMillis) throws IOException {
		int port = (this.life != null) ? this.life.port : 0;
		this.life = new Life(port, version, registerAfterMillis);
	}

	/**
	 * Ends the process without notice.
	 */
	void crash() {
		this.life.crash();
	}

	/**
	 * Ends a process without notice, unless it has ended before.
	 * @param born the start of the process
	 * @return true if it was running
	 */
	synchronized boolean crash(long born) {
		boolean running = isUp() && this.life.born == born;
		if (running) {
			crash();
		}
		return running;
	}

	private final class Life {

		private final ServerSocket listener;

		private final int port;

		private final String version;

		private final long born = LAST_START
			.updateAndGet((last) -> Math.max(last + 1, System.currentTimeMillis()));

		private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

		private final Semaphore free = new Semaphore(Runner.this.slots, true);

		private final AtomicInteger running = new AtomicInteger();

		private volatile boolean ended;

		private Life(int port, String version, int registerAfterMillis) throws IOException {
			this.listener = new ServerSocket();
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
			this.port = this.listener.getLocalPort();
			this.version = version;
			Thread.ofVirtual().start(this::accept);
			Thread.ofVirtual().start(() -> beat(registerAfterMillis));
		}

		private void crash() {
			this.ended = true;
			try {
				this.listener.close();
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
			this.connections.forEach(Life::reset);
			Thread.ofVirtual().start(this::expire);
		}

		private static void reset(Socket socket) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

		private void beat(int firstMillis) {
			try {
				Thread.sleep(firstMillis);
				for (int sequence = 1; !this.ended; sequence++) {
					Runner.this.store.put("keyed.servers", Runner.this.id,
							"{\"backend\":\"" + Runner.this.service + "\",\"address\":\"127.0.0.1:" + this.port
									+ "\",\"zone\":\"" + Runner.this.zone + "\",\"version\":\"" + this.version + "\",\"slots\":"
									+ Runner.this.slots
									+ ",\"state\":\"ready\",\"warmup-left-ms\":0,\"stage\":\"both\",\"sequence\":"
									+ sequence + ",\"born\":" + this.born + "}");
					Thread.sleep(HEARTBEAT_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private void expire() {
			try {
				Thread.sleep(MISSED_HEARTBEATS * HEARTBEAT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			if (Runner.this.life == this) {
				Runner.this.store.remove("keyed.servers", Runner.this.id);
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
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
				Wire.Message request = Wire.read(in, false);
				while (request != null && request.complete() && !this.ended) {
					answer(request, socket.getOutputStream());
					request = Wire.read(in, false);
				}
			}
			catch (IOException ex) {
				// The other side has closed the connection, or the runner has crashed.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				this.connections.remove(socket);
			}
		}

		private void answer(Wire.Message request, OutputStream out) throws IOException, InterruptedException {
			String expected = request.header("Expect-Instance");
			if (!expected.isEmpty() && !expected.equals(Runner.this.id)) {
				write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + Runner.this.id
						+ "\r\nContent-Length: 0\r\n\r\n");
				return;
			}
			boolean shed = ThreadLocalRandom.current().nextDouble() < Runner.this.shedShare;
			if (request.target().equals("/api/report") && !shed) {
				String report = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":"
						+ this.running + ",\"kv-used\":0,\"kv-total\":147261,\"handles\":0,\"born\":" + this.born + "}";
				write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length()
						+ "\r\n\r\n" + report);
				return;
			}
			String id = request.header("Request-Id");
			if (shed || !this.free.tryAcquire(2, TimeUnit.SECONDS)) {
				write(out, "HTTP/1.1 503 Service Unavailable\r\n" + (id.isEmpty() ? "" : "Request-Id: " + id + "\r\n")
						+ "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				return;
			}
			this.running.incrementAndGet();
			try {
				run(request, id, out);
			}
			finally {
				this.running.decrementAndGet();
				this.free.release();
			}
		}

		private void run(Wire.Message request, String id, OutputStream out) throws IOException, InterruptedException {
			Runner.this.listener.accept(
					new Run(Runner.this.id, this.version, this.born, request, System.currentTimeMillis()));
			String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id
					+ "\r\nResponse-Signature: " + Runner.this.id + "." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
			String last = request.header("Last-Event-Id");
			for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= Runner.this.events; i++) {
				Thread.sleep(Runner.this.eventMillis);
				String event = "id: " + i + "\ndata: " + this.version + " " + i + "\n\n";
				// The head comes with the first token.
				write(out, head + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
				head = "";
			}
			write(out, head);
			write(out, "0\r\n\r\n");
		}

		private void write(OutputStream out, String text) throws IOException {
			if (this.ended) {
				throw new IOException("the process has ended");
			}
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

	}

}
