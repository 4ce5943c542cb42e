package org.wigeonglade.standins;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;

/**
 * Listens on a loopback port that stays the same over restarts. Thread-safe.
 */
public final class StandInServer {

	private static final String LOOPBACK = "127.0.0.1";

	private static final long WAIT_SECONDS = 10;

	private final Vertx vertx;

	private final boolean ownVertx;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private volatile HttpServer server;

	private volatile int port;

	private volatile Router router;

	private StandInServer(Vertx vertx, boolean ownVertx, int port) {
		this.vertx = vertx;
		this.ownVertx = ownVertx;
		this.port = port;
	}

	/**
	 * Returns a server that does not listen yet.
	 * @param vertx the event loops to use, or null to create own ones
	 * @param port the port, 0 to take a free one at the first start
	 * @return a server, never null
	 */
	public static StandInServer create(Vertx vertx, int port) {
		return new StandInServer((vertx != null) ? vertx : Vertx.vertx(), vertx == null, port);
	}

	/**
	 * Waits for a future outside of the event loops.
	 * @param <T> the type of the result
	 * @param future the future, not null
	 * @return the result
	 */
	public static <T> T await(Future<T> future) {
		try {
			return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while a stand-in started or stopped", ex);
		}
		catch (java.util.concurrent.ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("a stand-in did not start or stop", ex);
		}
	}

	/**
	 * Returns the port.
	 * @return the port, 0 before the first start
	 */
	public int getPort() {
		return this.port;
	}

	/**
	 * Returns the event loops.
	 * @return the event loops, never null
	 */
	public Vertx getVertx() {
		return this.vertx;
	}

	/**
	 * Starts to listen.
	 * @param routes the routes, not null
	 */
	public void start(Router routes) {
		this.router = routes;
		await(listen());
	}

	/**
	 * Listens again on the same port.
	 * @return completes when connections are accepted
	 */
	public Future<Void> listen() {
		HttpServerOptions options = new HttpServerOptions().setHost(LOOPBACK).setPort(this.port);
		HttpServer created = this.vertx.createHttpServer(options).requestHandler(this.router);
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

	/**
	 * Closes the listener and every connection at once, without completing responses.
	 * @return completes when the port is free
	 */
	public Future<Void> drop() {
		HttpServer current = this.server;
		this.server = null;
		this.connections.forEach(HttpConnection::close);
		return (current != null) ? current.close() : Future.succeededFuture();
	}

	/**
	 * Drops everything and releases own event loops.
	 */
	public void stop() {
		await(drop());
		if (this.ownVertx) {
			await(this.vertx.close());
		}
	}

}
