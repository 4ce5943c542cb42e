package org.wigeonglade.gateway.runner;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerDirectory;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.gateway.http.IdleConnections;

/**
 * Pool of HTTP connections to runners. Confined to the event loop.
 */
public final class RunnerConnectionPool {

	/** Idle limit in milliseconds of a connection whose runner announces none. */
	private static final long DEFAULT_IDLE_MILLIS = 4_000;

	/**
	 * Time in milliseconds before the runner's idle limit at which a connection is no
	 * longer reused, so that a request is not sent while the runner closes the
	 * connection.
	 */
	private static final long IDLE_MARGIN_MILLIS = 400;

	private final RunnerPaths paths;

	private final Ticker ticker;

	private final Map<RunnerId, IdleConnections> idleConnections = new HashMap<>();

	private final Map<RunnerId, IdleConnections> idleRelayed = new HashMap<>();

	private final Map<RunnerId, Integer> inUse = new HashMap<>();

	/**
	 * Creates a pool without connections.
	 * @param paths opens connections, not null
	 * @param ticker the clock, not null
	 */
	public RunnerConnectionPool(RunnerPaths paths, Ticker ticker) {
		this.paths = paths;
		this.ticker = ticker;
	}

	/**
	 * Acquires an idle connection or opens a new one.
	 * @param runner the runner, not null
	 * @param request the request that the connection is for, not null. If it asks for a
	 * fresh connection, the idle ones are closed: when one of them was reset, the others
	 * have usually been reset too
	 * @param limit the maximum number of connections in use from this host to the runner
	 * @param listener receives the connection, possibly before this method returns; not
	 * null
	 */
	void acquire(RunnerEntry runner, RunnerRequest request, int limit, Listener listener) {
		IdleConnections idle = idleConnections(runner.id(), this.paths.isRelayed());
		if (request.freshConnection()) {
			idle.closeAll();
		}
		Optional<ClientConnection> reused = idle.take(this.ticker.millis(),
				(connection) -> !connection.hasCarried(request.id()));
		if (reused.isPresent()) {
			this.inUse.merge(runner.id(), 1, Integer::sum);
			listener.acquired(reused.get(), true);
			return;
		}
		if (this.inUse.getOrDefault(runner.id(), 0) >= limit) {
			listener.failed(new RunnerFailure(RunnerFailure.Kind.NO_CONNECTION,
					"the limit of " + limit + " connections from this host to the runner is reached"));
			return;
		}
		this.inUse.merge(runner.id(), 1, Integer::sum);
		this.paths.connect(runner, new RunnerPaths.Listener() {
			@Override
			public void connected(RunnerEntry connected, ClientConnection connection) {
				listener.acquired(connection, false);
			}

			@Override
			public void failed(RunnerFailure failure) {
				decrementInUse(runner.id());
				listener.failed(failure);
			}
		});
	}

	// Returns a connection to the pool after a complete response. A response without a
	// request id closes the connection: if the runner sent it twice, the copy could not
	// be distinguished from the response to the next request.
	void release(RunnerId runner, ClientConnection connection, RunnerResponseHead head) {
		decrementInUse(runner);
		// A caller that read slowly may have paused it.
		connection.setReading(true);
		if (head.requestId().isEmpty()) {
			connection.close();
			return;
		}
		long limit = head.idleSeconds().isPresent() ? head.idleSeconds().getAsLong() * 1_000 : DEFAULT_IDLE_MILLIS;
		idleConnections(runner, connection.isRelayed()).keep(connection, this.ticker.millis(),
				Math.max(0, limit - IDLE_MARGIN_MILLIS));
	}

	// Returns a connection on which the request was not sent.
	void releaseUnused(RunnerId runner, ClientConnection connection) {
		decrementInUse(runner);
		idleConnections(runner, connection.isRelayed()).keep(connection, this.ticker.millis(),
				DEFAULT_IDLE_MILLIS - IDLE_MARGIN_MILLIS);
	}

	// Closes a connection whose response is incomplete.
	void discard(RunnerId runner, ClientConnection connection) {
		decrementInUse(runner);
		connection.close();
	}

	/**
	 * Closes connections that have exceeded their idle limit and those of runners that
	 * are no longer registered.
	 * @param directory the registered runners, not null
	 */
	public void closeExpired(RunnerDirectory directory) {
		closeExpired(this.idleConnections, directory);
		closeExpired(this.idleRelayed, directory);
	}

	// Tries to open a direct connection and keeps it.
	void probeDirectly(RunnerEntry runner) {
		this.paths.probeDirectly(runner, keepConnection());
	}

	// Tries to open a connection in the way that requests use now, and keeps it.
	void probe(RunnerEntry runner) {
		this.paths.probe(runner, keepConnection());
	}

	private RunnerPaths.Listener keepConnection() {
		return new RunnerPaths.Listener() {
			@Override
			public void connected(RunnerEntry runner, ClientConnection connection) {
				idleConnections(runner.id(), connection.isRelayed()).keep(connection,
						RunnerConnectionPool.this.ticker.millis(), DEFAULT_IDLE_MILLIS - IDLE_MARGIN_MILLIS);
			}

			@Override
			public void failed(RunnerFailure failure) {
				// The next probe tries another runner.
			}
		};
	}

	private void closeExpired(Map<RunnerId, IdleConnections> idle, RunnerDirectory directory) {
		long now = this.ticker.millis();
		idle.forEach((runner, connections) -> {
			if (directory.find(runner).isEmpty()) {
				connections.closeAll();
			}
			connections.closeExpired(now);
		});
		idle.values().removeIf(IdleConnections::isEmpty);
	}

	RunnerPaths getPaths() {
		return this.paths;
	}

	private IdleConnections idleConnections(RunnerId runner, boolean relayed) {
		return (relayed ? this.idleRelayed : this.idleConnections).computeIfAbsent(runner,
				(r) -> new IdleConnections());
	}

	private void decrementInUse(RunnerId runner) {
		this.inUse.merge(runner, -1, Integer::sum);
		this.inUse.remove(runner, 0);
	}

	/**
	 * Receives the outcome of an acquisition.
	 */
	interface Listener {

		/**
		 * Called with an open connection.
		 * @param connection the connection, not null
		 * @param reused whether it has carried requests before
		 */
		void acquired(ClientConnection connection, boolean reused);

		/**
		 * Called when no connection could be acquired.
		 * @param failure the cause, not null
		 */
		void failed(RunnerFailure failure);

	}

}
