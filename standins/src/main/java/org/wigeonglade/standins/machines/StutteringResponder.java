package org.wigeonglade.standins.machines;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32;

import org.wigeonglade.standins.machines.StutterSettings.CopyForm;
import org.wigeonglade.standins.net.ReceivedRequest;

/**
 * Responder of a faulty runner, which writes answers twice, cuts answers, and adds bytes
 * that belong to no answer. Its signatures name the runner, the request, the run, the
 * status and a checksum of the body. Thread-safe.
 */
public final class StutteringResponder implements RunnerResponder {

	private static final int MAX_BODY_BYTES = 2_000;

	private static final long EVENT_MILLIS = 8;

	private static final long COPY_LEAD_MILLIS = 2;

	private static final AtomicLong RUNS = new AtomicLong();

	private static final List<String> STRAY_BYTES = List.of("\r\n", "\0\u00ff\u0001", "upstream connect error\n",
			"0\r\n\r\n", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n\r\n", "X: y\r\n\r\n");

	private final String runner;

	private final int headerOrder;

	private final StutterSettings settings;

	private final ResponseLedger ledger;

	private final int events;

	private final Random random;

	private final Map<Socket, Connection> connections = new ConcurrentHashMap<>();

	/**
	 * Creates a responder.
	 * @param runner the id of the runner, not null
	 * @param settings how often it answers otherwise than it should, not null
	 * @param events the number of events of its streams
	 * @param ledger receives what it answers, not null
	 * @param seed determines the faults
	 */
	public StutteringResponder(String runner, StutterSettings settings, int events, ResponseLedger ledger, long seed) {
		this.runner = runner;
		this.settings = settings;
		this.events = events;
		this.ledger = ledger;
		this.random = new Random(seed);
		this.headerOrder = this.random.nextInt(3);
	}

	@Override
	public void received(ReceivedRequest request, Socket socket) throws IOException, InterruptedException {
		Connection connection = this.connections.computeIfAbsent(socket, (key) -> new Connection(this.runner, key));
		connection.trace.add("receives " + request.target() + " id " + request.header("Request-Id"));
		byte[] copy = connection.due;
		if (copy != null) {
			connection.due = null;
			connection.trace.write(copy, connection.dueDescription);
			Thread.sleep(COPY_LEAD_MILLIS);
		}
	}

	@Override
	public boolean respond(ReceivedRequest request, String version, Socket socket)
			throws IOException, InterruptedException {
		Connection connection = this.connections.get(socket);
		RunnerConnectionTrace trace = connection.trace;
		String id = request.header("Request-Id");
		if (happens(this.settings.refusals())) {
			this.ledger.countFault("refusal");
			trace.write(
					ascii("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
							+ (happens(0.5) ? "Request-Id: " + id + "\r\n" : "") + "Content-Length: 0\r\n\r\n"),
					"refusal");
			return true;
		}
		Answer answer = answer(request, version, trace);
		Thread.sleep(draw(8));
		if (happens(this.settings.interimHeads())) {
			trace.write(ascii(happens(0.5) ? "HTTP/1.1 100 Continue\r\n\r\n"
					: "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"), "interim head");
		}
		if (happens(this.settings.strayBytes() / 2)) {
			writeStrayBytes(trace, "before the answer");
		}
		if (happens(this.settings.cuts())) {
			return cut(answer, socket, trace);
		}
		write(answer, socket, trace);
		if (answer.framing == Framing.CLOSE) {
			return false;
		}
		if (happens(this.settings.strayBytes() / 2)) {
			writeStrayBytes(trace, "after the answer");
		}
		if (happens(this.settings.copies())) {
			copy(answer, connection);
		}
		return true;
	}

	private Answer answer(ReceivedRequest request, String version, RunnerConnectionTrace trace) {
		String id = request.header("Request-Id");
		boolean failed = happens(this.settings.errors());
		boolean stream = !failed && request.path().contains("stream");
		List<String> parts = new ArrayList<>();
		if (failed) {
			parts.add("the engine has failed");
		}
		else if (stream) {
			String last = request.header("Last-Event-Id");
			String subject = (request.body().length > 0) ? new String(request.body(), StandardCharsets.UTF_8) : id;
			for (int i = last.isEmpty() ? 0 : Integer.parseInt(last) + 1; i < this.events; i++) {
				parts.add("id: " + i + "\ndata: " + subject + " " + version + " " + i + "\n\n");
			}
		}
		else {
			for (int i = draw(4); i > 0; i--) {
				parts.add(id + "." + i + ":" + "abc\r\n".repeat(draw(MAX_BODY_BYTES / 15)));
			}
		}
		byte[] body = ascii(String.join("", parts));
		CRC32 checksum = new CRC32();
		checksum.update(body);
		int status = failed ? 500 : 200;
		String signature = this.runner + "/" + id + "/" + RUNS.incrementAndGet() + "/" + status + "/"
				+ Long.toHexString(checksum.getValue());
		this.ledger.add(new ResponseLedger.Run(signature, id, status, body, trace));
		Framing framing = Framing.values()[(draw(10) == 0) ? Framing.CLOSE.ordinal() : draw(Framing.CLOSE.ordinal())];
		return new Answer(id, head(status, id, signature, framing, body.length, stream), parts, framing, stream);
	}

	private byte[] head(int status, String id, String signature, Framing framing, int length, boolean stream) {
		String idLine = "Request-Id: " + id + "\r\n";
		String signatureLine = "Response-Signature: " + signature + "\r\n";
		String typeLine = "Content-Type: " + (stream ? "text/event-stream" : "text/plain") + "\r\n";
		String framingLine = switch (framing) {
			case LENGTH -> "Content-Length: " + length + "\r\n";
			case CHUNKED -> "Transfer-Encoding: chunked\r\n";
			case CLOSE -> "Connection: close\r\n";
		};
		return ascii("HTTP/1.1 " + ((status == 200) ? "200 OK" : "500 Internal Server Error") + "\r\n"
				+ switch (this.headerOrder) {
					case 0 -> idLine + signatureLine + typeLine + framingLine;
					case 1 -> signatureLine + idLine + framingLine + typeLine;
					default -> framingLine + typeLine + signatureLine + idLine;
				} + "\r\n");
	}

	// Other writes may come between two chunks only, since the end of a body could not be
	// found otherwise.
	private void write(Answer answer, Socket socket, RunnerConnectionTrace trace)
			throws IOException, InterruptedException {
		boolean separable = answer.framing == Framing.CHUNKED;
		if (!separable) {
			trace.lock().lock();
		}
		try {
			trace.write(answer.head, "head of " + answer.id);
			for (byte[] part : answer.parts()) {
				Thread.sleep(answer.stream ? EVENT_MILLIS : draw(3));
				trace.write(part, "part of the body of " + answer.id);
			}
			if (answer.framing == Framing.CLOSE) {
				trace.add("closes the connection");
				socket.close();
			}
		}
		finally {
			if (!separable) {
				trace.lock().unlock();
			}
		}
	}

	// A body that ends with the connection is only cut by a reset, since a close
	// completes
	// it.
	private boolean cut(Answer answer, Socket socket, RunnerConnectionTrace trace) throws IOException {
		byte[] whole = answer.bytes();
		boolean inHead = happens(0.5) || whole.length == answer.head.length;
		int length = inHead ? 1 + draw(answer.head.length - 1)
				: answer.head.length + draw(whole.length - answer.head.length);
		int end = (!inHead && answer.framing == Framing.CLOSE) ? 1 : draw(5);
		String what = "own answer cut in its " + (inHead ? "head" : "body");
		this.ledger.countFault(what + ((end == 0) ? ", left open" : (end <= 2) ? ", reset" : ", closed"));
		trace.lock().lock();
		try {
			trace.write(Arrays.copyOf(whole, length), what + " at " + length + " of " + answer.id);
			if (!inHead) {
				trace.seal();
			}
		}
		finally {
			trace.lock().unlock();
		}
		if (end == 0) {
			trace.add("leaves the connection open");
			return true;
		}
		trace.add((end <= 2) ? "resets the connection" : "closes the connection");
		if (end <= 2) {
			RestartingRunnerStandIn.reset(socket);
		}
		else {
			socket.close();
		}
		return false;
	}

	private void copy(Answer answer, Connection connection) throws IOException {
		CopyForm form = this.settings.forms().get(draw(this.settings.forms().size()));
		byte[] whole = answer.bytes();
		int bodyLength = whole.length - answer.head.length;
		int length = switch (form) {
			case WHOLE -> whole.length;
			case CUT_IN_HEAD -> 1 + draw(answer.head.length - 1);
			case CUT_IN_BODY -> answer.head.length + ((bodyLength > 0) ? draw(bodyLength) : 0);
		};
		byte[] copy = Arrays.copyOf(whole, length);
		int time = draw(3);
		String what = "copy " + form + ((time == 0) ? ", at the next request" : (time == 1) ? ", at once" : ", late");
		this.ledger.countFault(what);
		String description = what + ", " + length + " of " + whole.length + " bytes of the answer to " + answer.id;
		switch (time) {
			case 0 -> {
				connection.dueDescription = description;
				connection.due = copy;
			}
			case 1 -> connection.trace.write(copy, description);
			default -> {
				long millis = 5 + draw(41);
				Thread.ofVirtual().start(() -> writeLate(connection.trace, copy, description, millis));
			}
		}
	}

	private static void writeLate(RunnerConnectionTrace trace, byte[] copy, String description, long millis) {
		try {
			Thread.sleep(millis);
			trace.write(copy, description);
		}
		catch (IOException ex) {
			// The host has closed the connection, which the trace holds.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeStrayBytes(RunnerConnectionTrace trace, String place) throws IOException {
		this.ledger.countFault("stray bytes " + place);
		String bytes = STRAY_BYTES.get(draw(STRAY_BYTES.size()));
		trace.write(bytes.getBytes(StandardCharsets.ISO_8859_1), "stray bytes " + place);
	}

	private synchronized boolean happens(double share) {
		return this.random.nextDouble() < share;
	}

	private synchronized int draw(int bound) {
		return this.random.nextInt(bound);
	}

	private static byte[] ascii(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * How the end of a body is found.
	 */
	private enum Framing {

		/** By the length in the head. */
		LENGTH,

		/** By an empty chunk. */
		CHUNKED,

		/** By the end of the connection. */
		CLOSE

	}

	/**
	 * An answer that is not written yet.
	 */
	private record Answer(String id, byte[] head, List<String> texts, Framing framing, boolean stream) {

		List<byte[]> parts() {
			if (this.framing != Framing.CHUNKED) {
				return this.texts.stream().map(StutteringResponder::ascii).toList();
			}
			List<byte[]> chunks = new ArrayList<>();
			this.texts
				.forEach((text) -> chunks.add(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")));
			chunks.add(ascii("0\r\n\r\n"));
			return chunks;
		}

		byte[] bytes() {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(this.head);
			parts().forEach(bytes::writeBytes);
			return bytes.toByteArray();
		}

	}

	/**
	 * A connection and the copy that is written at its next request, if any.
	 */
	private static final class Connection {

		private final RunnerConnectionTrace trace;

		private volatile byte[] due;

		private volatile String dueDescription;

		private Connection(String runner, Socket socket) {
			this.trace = new RunnerConnectionTrace(runner, socket);
		}

	}

}
