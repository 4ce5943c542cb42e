package org.wigeonglade.standins.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP/1.1 server whose responses are written byte by byte by a script, to send responses
 * that a correct server never sends. Requests must have a {@code Content-Length} if they
 * have a body. Thread-safe.
 */
public final class ScriptedHttpServer implements AutoCloseable {

	private static final int BACKLOG = 50;

	private final ConnectionAcceptor acceptor;

	private final Script script;

	private final List<Exchange> exchanges = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	private ScriptedHttpServer(Script script) {
		this.script = script;
		this.acceptor = ConnectionAcceptor.start(BACKLOG, this::serve);
	}

	/**
	 * Starts a server on a free port.
	 * @param script responds to each request, not null
	 * @return a server that listens, never null
	 */
	public static ScriptedHttpServer start(Script script) {
		return new ScriptedHttpServer(script);
	}

	/**
	 * Returns the address.
	 * @return {@code ip:port}, never null
	 */
	public String getAddress() {
		return "127.0.0.1:" + this.acceptor.getAddress().getPort();
	}

	/**
	 * Returns the number of connections accepted.
	 * @return the number since the start
	 */
	public int countConnections() {
		return this.connections.get();
	}

	/**
	 * Returns the number of requests received.
	 * @return the number since the start
	 */
	public int countRequests() {
		return this.exchanges.size();
	}

	/**
	 * Returns the latest request.
	 * @return the exchange, never null
	 */
	public Exchange getLatestExchange() {
		return this.exchanges.get(this.exchanges.size() - 1);
	}

	/**
	 * Closes the listener and all connections.
	 */
	@Override
	public void close() {
		this.acceptor.close();
		this.acceptor.closeConnections();
	}

	private void serve(Socket socket) throws IOException {
		this.connections.incrementAndGet();
		CountDownLatch closed = new CountDownLatch(1);
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Optional<ReceivedRequest> request = ReceivedRequest.read(in);
			while (request.isPresent()) {
				Exchange exchange = new Exchange(this.requests.incrementAndGet(), request.get(), socket, closed);
				this.exchanges.add(exchange);
				this.script.respond(exchange);
				request = ReceivedRequest.read(in);
			}
		}
		finally {
			closed.countDown();
		}
	}

	/**
	 * Responds to requests.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Responds to a request.
		 * @param exchange the request, not null
		 * @throws IOException if the connection is lost
		 */
		void respond(Exchange exchange) throws IOException;

	}

	/**
	 * A request and its connection. The connection can be written to at any time.
	 */
	public static final class Exchange {

		private final int number;

		private final ReceivedRequest request;

		private final Socket socket;

		private final CountDownLatch closed;

		private Exchange(int number, ReceivedRequest request, Socket socket, CountDownLatch closed) {
			this.number = number;
			this.request = request;
			this.socket = socket;
			this.closed = closed;
		}

		/**
		 * Returns the number of the request.
		 * @return the number since the start, from 1
		 */
		public int getNumber() {
			return this.number;
		}

		/**
		 * Returns the request line.
		 * @return method, path and version, never null
		 */
		public String getRequestLine() {
			return this.request.requestLine();
		}

		/**
		 * Returns the body of the request.
		 * @return the body as text, empty if there is none
		 */
		public String getBody() {
			return new String(this.request.body(), StandardCharsets.UTF_8);
		}

		/**
		 * Returns a header of the request.
		 * @param name the name in any case, not null
		 * @param defaultValue the value of a missing header
		 * @return the last value
		 */
		public String getHeader(String name, String defaultValue) {
			return this.request.findHeader(name).orElse(defaultValue);
		}

		/**
		 * Writes bytes to the connection.
		 * @param bytes the bytes, not null
		 * @throws IOException if the connection is lost
		 */
		public void write(byte[] bytes) throws IOException {
			this.socket.getOutputStream().write(bytes);
		}

		/**
		 * Closes the connection once all written bytes are sent.
		 * @throws IOException if the connection is lost
		 */
		public void close() throws IOException {
			this.socket.close();
		}

		/**
		 * Blocks until the connection is closed.
		 * @param timeout the longest time to wait, not null
		 * @return false if the connection is still open
		 * @throws InterruptedException if the thread is interrupted
		 */
		public boolean awaitClosed(Duration timeout) throws InterruptedException {
			return this.closed.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}

	}

}
