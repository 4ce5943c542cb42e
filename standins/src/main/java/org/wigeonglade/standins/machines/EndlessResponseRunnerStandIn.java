package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Test double of a faulty runner, whose responses never end: it writes until the client
 * closes the connection. Thread-safe.
 */
public final class EndlessResponseRunnerStandIn implements AutoCloseable {

	/** Interval between the writes of a slow response in milliseconds. */
	private static final long TRICKLE_MILLIS = 50;

	private static final int WRITE_BYTES = 16 * 1024;

	private final ServerSocket socket;

	private final Kind kind;

	private final boolean reportEndless;

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicLong sentBytes = new AtomicLong();

	private EndlessResponseRunnerStandIn(ServerSocket socket, Kind kind, boolean reportEndless) {
		this.socket = socket;
		this.kind = kind;
		this.reportEndless = reportEndless;
	}

	/**
	 * Starts a runner on a free loopback port.
	 * @param kind the part of the response that never ends, not null
	 * @param reportEndless whether the reports of the runner about itself do not end
	 * either
	 * @return the started stand-in, never null
	 * @throws IOException if no port can be opened
	 */
	public static EndlessResponseRunnerStandIn start(Kind kind, boolean reportEndless) throws IOException {
		ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		EndlessResponseRunnerStandIn runner = new EndlessResponseRunnerStandIn(socket, kind, reportEndless);
		Thread.ofVirtual().start(runner::accept);
		return runner;
	}

	/**
	 * Registers the runner.
	 * @param store the store, not null
	 * @param id the id of its registration, not null
	 * @param service the service that it belongs to, not null
	 */
	public void register(MachineStoreStandIn store, String id, String service) {
		RunnerRegistration.of(id, service, this.socket.getLocalPort()).put(store);
	}

	/**
	 * Returns the number of requests received.
	 * @return the number since the start
	 */
	public int getRequests() {
		return this.requests.get();
	}

	/**
	 * Returns the number of connections that the client has not closed.
	 * @return the number
	 */
	public int getOpenConnections() {
		return this.open.get();
	}

	/**
	 * Returns the number of bytes written to all connections.
	 * @return the number since the start
	 */
	public long getSentBytes() {
		return this.sentBytes.get();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket caller = this.socket.accept();
				this.open.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(caller));
			}
			catch (IOException ex) {
				if (!this.socket.isClosed()) {
					throw new IllegalStateException("runner stand-in failed to accept a connection", ex);
				}
			}
		}
	}

	private void serve(Socket caller) {
		try (caller) {
			OutputStream output = caller.getOutputStream();
			String request = readRequest(caller.getInputStream());
			if (!this.reportEndless && request.startsWith("GET /api/report ")) {
				write(output,
						"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"born\":1}");
				request = readRequest(caller.getInputStream());
			}
			this.requests.incrementAndGet();
			write(output, responseHead(findRequestId(request)));
			for (long i = 0;; i++) {
				byte[] block = block(i);
				output.write(block);
				this.sentBytes.addAndGet(block.length);
				if (this.kind == Kind.TRICKLING_STREAM) {
					Thread.sleep(TRICKLE_MILLIS);
				}
			}
		}
		catch (IOException ex) {
			// The response ends because the client has closed the connection.
			this.open.decrementAndGet();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String responseHead(String id) {
		String headers = "Request-Id: " + id + "\r\nResponse-Signature: s\r\n";
		return switch (this.kind) {
			case HEAD -> "HTTP/1.1 200 OK\r\n" + headers + "X-Filler: ";
			case STATUS_LINE, BYTES -> "";
			case INTERIM_HEADS -> "";
			case FAILURE_BODY ->
				"HTTP/1.1 500 Internal Server Error\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n";
			case ANSWER_TO_ANOTHER -> "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nResponse-Signature: s\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n";
			case EVENT, EVENTS, TRICKLING_STREAM -> "HTTP/1.1 200 OK\r\n" + headers
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
		};
	}

	private byte[] block(long number) {
		return switch (this.kind) {
			case HEAD, STATUS_LINE -> "a".repeat(WRITE_BYTES).getBytes(StandardCharsets.US_ASCII);
			case BYTES -> new byte[WRITE_BYTES];
			case INTERIM_HEADS -> "HTTP/1.1 100 Continue\r\n\r\n".repeat(100).getBytes(StandardCharsets.US_ASCII);
			case FAILURE_BODY, ANSWER_TO_ANOTHER, EVENT -> chunk("b".repeat(WRITE_BYTES));
			case EVENTS -> chunk("id: " + number + "\ndata: " + "b".repeat(WRITE_BYTES) + "\n\n");
			case TRICKLING_STREAM -> chunk(":\n\n");
		};
	}

	private static byte[] chunk(String content) {
		return (Integer.toHexString(content.length()) + "\r\n" + content + "\r\n").getBytes(StandardCharsets.US_ASCII);
	}

	private void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.US_ASCII));
	}

	// Reads the request head. The body is left unread.
	private static String readRequest(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("connection closed before the end of the request head");
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private static String findRequestId(String head) {
		return head.lines()
			.filter((line) -> line.regionMatches(true, 0, "request-id:", 0, 11))
			.map((line) -> line.substring(11).strip())
			.findFirst()
			.orElse("");
	}

	/**
	 * Part of a response that never ends.
	 */
	public enum Kind {

		/** The value of a response header. */
		HEAD,

		/** The status line. */
		STATUS_LINE,

		/** Zero bytes, which are not an HTTP response. */
		BYTES,

		/** Interim responses with status 100. */
		INTERIM_HEADS,

		/** The body of a response with status 500. */
		FAILURE_BODY,

		/** The body of a response with the id of another request. */
		ANSWER_TO_ANOTHER,

		/** One server-sent event. */
		EVENT,

		/** The number of events of a stream, each of which is sound. */
		EVENTS,

		/** Comment lines in a stream of server-sent events, 3 bytes at a time. */
		TRICKLING_STREAM

	}

}
