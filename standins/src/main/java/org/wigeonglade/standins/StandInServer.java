package org.wigeonglade.standins;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;

/**
 * HTTP server of a stand-in on a loopback port, which is kept across restarts.
 * Thread-safe.
 */
public final class StandInServer {

	private static final String LOOPBACK = "127.0.0.1";

	private static final long RETRY_NANOS = 1_000_000;

	/** Header with the id of a request, which is echoed so that clients can check it. */
	private static final String EXCHANGE_ID = "x-exchange-id";

	private static final long AWAIT_TIMEOUT_SECONDS = 10;

	private final Vertx vertx;

	private final boolean ownsVertx;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private volatile HttpServer server;

	private volatile int port;

	private volatile Router router;

	private StandInServer(Vertx vertx, boolean ownsVertx, int port) {
		this.vertx = vertx;
		this.ownsVertx = ownsVertx;
		this.port = port;
	}

	/**
	 * Returns a server that does not listen yet.
	 * @param vertx the Vert.x instance to share, or null to create one that
	 * {@link #stop()} closes
	 * @param port the port, 0 to choose a free one at the first start
	 * @return a server, never null
	 */
	public static StandInServer create(Vertx vertx, int port) {
		return new StandInServer((vertx != null) ? vertx : Vertx.vertx(), vertx == null, port);
	}

	/**
	 * Blocks until a future completes, for at most 10 s. Must not be called on an event
	 * loop.
	 * @param <T> the type of the result
	 * @param future the future, not null
	 * @return the result
	 * @throws IllegalStateException if the future fails, does not complete in time or the
	 * thread is interrupted
	 */
	public static <T> T await(Future<T> future) {
		try {
			return future.toCompletionStage().toCompletableFuture().get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting for a stand-in server", ex);
		}
		catch (java.util.concurrent.ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("stand-in server failed to start or stop within the time-out", ex);
		}
	}

	/**
	 * Returns the port of the server.
	 * @return the port, 0 before the first start
	 */
	public int getPort() {
		return this.port;
	}

	/**
	 * Returns the Vert.x instance of the server.
	 * @return the instance, never null
	 */
	public Vertx getVertx() {
		return this.vertx;
	}

	/**
	 * Starts to listen and blocks until connections are accepted.
	 * @param routes the routes, not null
	 */
	public void start(Router routes) {
		this.router = routes;
		await(listen());
	}

	/**
	 * Listens again on the same port.
	 * @return a future that completes when connections are accepted
	 */
	public Future<Void> listen() {
		HttpServerOptions options = new HttpServerOptions().setHost(LOOPBACK).setPort(this.port);
		HttpServer created = this.vertx.createHttpServer(options).requestHandler(this::handle);
		created.connectionHandler((connection) -> {
			this.connections.add(connection);
			connection.closeHandler((ignored) -> this.connections.remove(connection));
		});
		return created.listen().map((listening) -> {
			this.server = listening;
			this.port = listening.actualPort();
			return null;
		});
	}

	private void handle(HttpServerRequest request) {
		String id = request.getHeader(EXCHANGE_ID);
		if (id != null) {
			request.response().putHeader(EXCHANGE_ID, id);
		}
		this.router.handle(request);
	}

	/**
	 * Closes the listener and every connection immediately, without completing responses.
	 * @return a future that completes when the listener was told to close; until its
	 * event loop has released the socket, the operating system still accepts connections
	 */
	public Future<Void> closeNow() {
		HttpServer current = this.server;
		this.server = null;
		this.connections.forEach(HttpConnection::close);
		return (current != null) ? current.close() : Future.succeededFuture();
	}

	/**
	 * Closes the listener and every connection immediately, and blocks until connections
	 * are refused. Must not be called on an event loop.
	 * @throws IllegalStateException if connections are still accepted after 10 s
	 */
	public void closeNowAndRefuse() {
		await(closeNow());
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
		while (acceptsConnections()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException("port " + this.port + " still accepts connections");
			}
			LockSupport.parkNanos(RETRY_NANOS);
		}
	}

	private boolean acceptsConnections() {
		try (Socket socket = new Socket(LOOPBACK, this.port)) {
			return socket.isConnected();
		}
		catch (ConnectException ex) {
			return false;
		}
		catch (IOException ex) {
			// A reset comes from a socket that was still listening.
			return true;
		}
	}

	/**
	 * Closes the listener and all connections, and the Vert.x instance unless it is
	 * shared.
	 */
	public void stop() {
		await(closeNow());
		if (this.ownsVertx) {
			await(this.vertx.close());
		}
	}

}
