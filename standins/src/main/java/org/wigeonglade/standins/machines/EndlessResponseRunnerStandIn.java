package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.wigeonglade.standins.net.ConnectionAcceptor;
import org.wigeonglade.standins.net.ReceivedRequest;

/**
 * Test double of a faulty runner, whose responses never end: it writes until the client
 * closes the connection. Thread-safe.
 */
public final class EndlessResponseRunnerStandIn implements AutoCloseable {

	/** Interval between the writes of a slow response in milliseconds. */
	private static final long TRICKLE_MILLIS = 50;

	private static final int WRITE_BYTES = 16 * 1024;

	private static final int BACKLOG = 50;

	private final ConnectionAcceptor acceptor;

	private final Kind kind;

	private final boolean reportEndless;

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicLong sentBytes = new AtomicLong();

	private EndlessResponseRunnerStandIn(Kind kind, boolean reportEndless) {
		this.kind = kind;
		this.reportEndless = reportEndless;
		this.acceptor = ConnectionAcceptor.start(BACKLOG, this::serve);
	}

	/**
	 * Starts a runner on a free loopback port.
	 * @param kind the part of the response that never ends, not null
	 * @param reportEndless whether the reports of the runner about itself do not end
	 * either
	 * @return the started stand-in, never null
	 */
	public static EndlessResponseRunnerStandIn start(Kind kind, boolean reportEndless) {
		return new EndlessResponseRunnerStandIn(kind, reportEndless);
	}

	/**
	 * Registers the runner.
	 * @param store the store, not null
	 * @param id the id of its registration, not null
	 * @param service the service that it belongs to, not null
	 */
	public void register(MachineStoreStandIn store, String id, String service) {
		RunnerRegistration.of(id, service, this.acceptor.getAddress().getPort()).put(store);
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
	public void close() {
		this.acceptor.close();
	}

	// The response ends because the client has closed the connection.
	private void serve(Socket caller) throws IOException, InterruptedException {
		this.open.incrementAndGet();
		try (caller) {
			OutputStream output = caller.getOutputStream();
			ReceivedRequest request = readRequest(caller);
			if (!this.reportEndless && request.target().equals("GET /api/report")) {
				write(output,
						"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"born\":1}");
				request = readRequest(caller);
			}
			this.requests.incrementAndGet();
			write(output, responseHead(request.header("Request-Id")));
			for (long i = 0;; i++) {
				byte[] block = block(i);
				output.write(block);
				this.sentBytes.addAndGet(block.length);
				if (this.kind == Kind.TRICKLING_STREAM) {
					Thread.sleep(TRICKLE_MILLIS);
				}
			}
		}
		finally {
			this.open.decrementAndGet();
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

	private static ReceivedRequest readRequest(Socket caller) throws IOException {
		return ReceivedRequest.read(caller.getInputStream())
			.orElseThrow(() -> new IOException("connection closed before the end of the request head"));
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
