package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.function.IntSupplier;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerReachability;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.gateway.http.Connector;
import org.wigeonglade.gateway.log.GatewayEvent;

/**
 * Opens connections to runners and tracks whether this host can reach any. Confined to
 * the event loop.
 */
public final class RunnerPaths {

	private static final EventLogger LOG = EventLogger.of(RunnerPaths.class);

	/**
	 * Timeout for opening a connection. A machine without power does not respond at all,
	 * and the target for the first byte of a response is a few hundred milliseconds.
	 */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private final Connector connector;

	private final Ticker ticker;

	private final RunnerReachability reachability = new RunnerReachability();

	private IntSupplier registeredCount = () -> 1;

	/**
	 * Creates paths that are not known to be interrupted.
	 * @param connector opens connections, not null
	 * @param ticker the clock, not null
	 */
	public RunnerPaths(Connector connector, Ticker ticker) {
		this.connector = connector;
		this.ticker = ticker;
	}

	void setRegisteredCount(IntSupplier supplier) {
		this.registeredCount = supplier;
	}

	// Opens a connection to a runner.
	void connect(RunnerEntry runner, Listener listener) {
		this.connector.connect(runner.address(), CONNECT_TIMEOUT, new Connector.Listener() {
			@Override
			public void connected(ClientConnection connection) {
				recordConnected(runner);
				listener.connected(connection);
			}

			@Override
			public void failed(Throwable cause) {
				recordFailure(runner, RunnerFailure.Kind.UNREACHABLE);
				listener.failed(new RunnerFailure(RunnerFailure.Kind.UNREACHABLE, String.valueOf(cause.getMessage())));
			}
		});
	}

	// Records a response on a connection that was opened before.
	void recordResponse() {
		this.reachability.recordResponse();
	}

	// Records that a runner has not responded in time.
	void recordSilence(RunnerEntry runner) {
		recordFailure(runner, RunnerFailure.Kind.SILENT);
	}

	private void recordConnected(RunnerEntry runner) {
		if (this.reachability.recordConnected()) {
			LOG.log(GatewayEvent.HOST_REACHES_RUNNERS, runner.id());
		}
	}

	private void recordFailure(RunnerEntry runner, RunnerFailure.Kind kind) {
		int registered = this.registeredCount.getAsInt();
		boolean cutOff = (kind == RunnerFailure.Kind.SILENT)
				? this.reachability.recordSilence(runner.id(), registered, this.ticker.millis())
				: this.reachability.recordConnectFailure(runner.id(), registered, this.ticker.millis());
		if (cutOff) {
			LOG.log(GatewayEvent.HOST_CUT_OFF, runner.id(), kind, registered);
		}
	}

	/**
	 * Receives the outcome of opening a connection.
	 */
	interface Listener {

		/**
		 * Called with an open connection.
		 * @param connection the connection, not null
		 */
		void connected(ClientConnection connection);

		/**
		 * Called when no connection could be opened.
		 * @param failure the cause, not null
		 */
		void failed(RunnerFailure failure);

	}

}
