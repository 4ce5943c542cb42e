package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;

import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.DomainReachability;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerReachability;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.gateway.http.Connector;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.relay.RelayConnector;

/**
 * Opens connections to runners: directly, or by way of another host while this host
 * cannot reach any runner and another one can. Confined to the event loop.
 */
public final class RunnerPaths {

	private static final EventLogger LOG = EventLogger.of(RunnerPaths.class);

	/**
	 * Timeout for opening a connection. A machine without power does not respond at all,
	 * and the target for the first byte of a response is a few hundred milliseconds.
	 */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	/** Number of hosts that are asked to relay one connection. */
	private static final int MAX_RELAYS = 4;

	private final Connector connector;

	private final RelayConnector relayConnector;

	private final ResponseMonitor responseMonitor;

	private final Ticker ticker;

	private final RunnerReachability reachability = new RunnerReachability();

	private final DomainReachability domainReachability = new DomainReachability();

	private Function<Set<HostId>, Optional<PeerTable.Peer>> relaySelector = (excluded) -> Optional.empty();

	private Consumer<HostId> relayFailureListener = (host) -> {
	};

	private IntSupplier registeredCount = () -> 1;

	private Runnable cutOffListener = () -> {
	};

	/**
	 * Creates paths that are not known to be interrupted.
	 * @param connector opens direct connections, not null
	 * @param relayConnector opens connections by way of other hosts, not null
	 * @param responseMonitor records what runners send besides the responses that are
	 * due, not null
	 * @param ticker the clock, not null
	 */
	public RunnerPaths(Connector connector, RelayConnector relayConnector, ResponseMonitor responseMonitor,
			Ticker ticker) {
		this.connector = connector;
		this.relayConnector = relayConnector;
		this.responseMonitor = responseMonitor;
		this.ticker = ticker;
	}

	/**
	 * Sets how the host that relays a connection is selected.
	 * @param selector returns a host other than the given ones, empty if there is none;
	 * not null
	 */
	public void setRelaySelector(Function<Set<HostId>, Optional<PeerTable.Peer>> selector) {
		this.relaySelector = selector;
	}

	/**
	 * Sets the listener to hosts that did not relay a connection.
	 * @param listener called on the event loop, not null
	 */
	public void onRelayFailure(Consumer<HostId> listener) {
		this.relayFailureListener = listener;
	}

	/**
	 * Returns whether this host has lost its way to the runners.
	 * @return true until a direct connection succeeds
	 */
	public boolean isCutOff() {
		return this.reachability.isCutOff();
	}

	/**
	 * Returns which failure domains this host opens connections to.
	 * @return the record, never null
	 */
	public DomainReachability getDomainReachability() {
		return this.domainReachability;
	}

	void setRegisteredCount(IntSupplier supplier) {
		this.registeredCount = supplier;
	}

	void onCutOff(Runnable listener) {
		this.cutOffListener = listener;
	}

	// Returns whether connections are opened by way of other hosts.
	boolean isRelayed() {
		return isCutOff() && this.relaySelector.apply(Set.of()).isPresent();
	}

	// Opens a connection to a runner.
	void connect(RunnerEntry runner, Listener listener) {
		if (isRelayed()) {
			connectByRelay(runner, new HashSet<>(), listener);
		}
		else {
			connectOrRelay(runner, listener);
		}
	}

	// Opens a direct connection to a runner that may be out of reach. A failure is
	// expected and not held against the links of this host.
	void probeDirectly(RunnerEntry runner, Listener listener) {
		openDirectly(runner, listener);
	}

	// Does the same by way of another host if connections are relayed.
	void probe(RunnerEntry runner, Listener listener) {
		if (isRelayed()) {
			connectByRelay(runner, new HashSet<>(), listener);
		}
		else {
			openDirectly(runner, listener);
		}
	}

	// Records a response to another request than the one in progress.
	void recordSkipped(RunnerEntry runner, ClientConnection connection, Optional<String> requestId,
			RunnerResponseHead head) {
		this.responseMonitor.recordSkipped(runner.id(), connection, requestId, head);
	}

	// Records a response on a direct connection that was opened before.
	void recordResponse() {
		this.reachability.recordResponse();
	}

	// Records that a runner has not responded in time on a direct connection.
	void recordSilence(RunnerEntry runner) {
		this.domainReachability.recordFailure(runner.domain());
		recordFailure(runner, RunnerFailure.Kind.SILENT);
	}

	private void connectOrRelay(RunnerEntry runner, Listener listener) {
		connectDirectly(runner, new Listener() {
			@Override
			public void connected(RunnerEntry connected, ClientConnection connection) {
				listener.connected(connected, connection);
			}

			@Override
			public void failed(RunnerFailure failure) {
				if (isRelayed()) {
					connectByRelay(runner, new HashSet<>(), listener);
				}
				else {
					listener.failed(failure);
				}
			}
		});
	}

	private void connectDirectly(RunnerEntry runner, Listener listener) {
		openDirectly(runner, new Listener() {
			@Override
			public void connected(RunnerEntry connected, ClientConnection connection) {
				listener.connected(connected, connection);
			}

			@Override
			public void failed(RunnerFailure failure) {
				recordFailure(runner, RunnerFailure.Kind.UNREACHABLE);
				listener.failed(failure);
			}
		});
	}

	private void openDirectly(RunnerEntry runner, Listener listener) {
		this.connector.connect(runner.address(), CONNECT_TIMEOUT, new Connector.Listener() {
			@Override
			public void connected(ClientConnection connection) {
				recordConnected(runner);
				monitorFaults(runner, connection);
				listener.connected(runner, connection);
			}

			@Override
			public void failed(Throwable cause) {
				RunnerPaths.this.domainReachability.recordFailure(runner.domain());
				listener.failed(new RunnerFailure(RunnerFailure.Kind.UNREACHABLE, FailureText.of(cause)));
			}
		});
	}

	private void connectByRelay(RunnerEntry runner, Set<HostId> excluded, Listener listener) {
		Optional<PeerTable.Peer> relay = (excluded.size() < MAX_RELAYS) ? this.relaySelector.apply(excluded)
				: Optional.empty();
		if (relay.isEmpty()) {
			listener.failed(new RunnerFailure(RunnerFailure.Kind.NO_CONNECTION,
					"no other host connects this one to the runner"));
			return;
		}
		HostId host = relay.get().getHost();
		this.relayConnector.connect(relay.get().getAddress(), runner.id(), new RelayConnector.Listener() {
			@Override
			public void connected(ClientConnection connection) {
				// A host that shuts down interrupts what it still relays at its end.
				connection.setReuseCondition(relay.get()::isRelaying);
				recordDomainReached(runner);
				monitorFaults(runner, connection);
				listener.connected(runner, connection);
			}

			@Override
			public void runnerUnreachable(String reason) {
				RunnerPaths.this.domainReachability.recordFailure(runner.domain());
				listener.failed(new RunnerFailure(RunnerFailure.Kind.UNREACHABLE, reason + " from " + host));
			}

			@Override
			public void relayFailed(String reason) {
				LOG.log(GatewayEvent.RELAY_FAILED, host, runner.id(), reason);
				excluded.add(host);
				RunnerPaths.this.relayFailureListener.accept(host);
				connectByRelay(runner, excluded, listener);
			}
		});
	}

	private void monitorFaults(RunnerEntry runner, ClientConnection connection) {
		connection.onFault((fault) -> this.responseMonitor.recordFault(runner.id(), connection, fault));
	}

	private void recordDomainReached(RunnerEntry runner) {
		this.domainReachability.recordConnected(runner.domain(), this.ticker.millis());
	}

	private void recordConnected(RunnerEntry runner) {
		recordDomainReached(runner);
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
			this.cutOffListener.run();
		}
	}

	/**
	 * Receives the outcome of opening a connection.
	 */
	interface Listener {

		/**
		 * Called with an open connection.
		 * @param runner the runner, not null
		 * @param connection the connection, not null
		 */
		void connected(RunnerEntry runner, ClientConnection connection);

		/**
		 * Called when no connection could be opened.
		 * @param failure the cause, not null
		 */
		void failed(RunnerFailure failure);

	}

}
