package org.wigeonglade.entry.host;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.wigeonglade.core.account.AccountEventBuffer;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.member.FleetLoad;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.caller.CallerParts;
import org.wigeonglade.entry.caller.CallerServer;
import org.wigeonglade.entry.control.ControlConfigurationAdmin;
import org.wigeonglade.entry.control.ControlOptions;
import org.wigeonglade.entry.control.ControlRuntime;
import org.wigeonglade.entry.control.ControlStreams;
import org.wigeonglade.entry.online.BatchDispatcher;
import org.wigeonglade.entry.online.EventLoop;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.entry.online.OnlineRuntimeBuilder;
import org.wigeonglade.entry.online.QuarantineLog;
import org.wigeonglade.entry.operator.DurableAccount;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.entry.operator.HostMetrics;
import org.wigeonglade.entry.operator.OperatorContext;
import org.wigeonglade.entry.operator.OperatorServer;
import org.wigeonglade.peer.NettyPeerTransport;
import org.wigeonglade.peer.PeerIdentity;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Creates and connects the parts of one host.
 */
final class HostAssembly {

	private static final EventLogger LOG = EventLogger.of(HostAssembly.class);

	/** Time within which a part must start or stop. */
	private static final Duration PART_LIMIT = Duration.ofSeconds(10);

	/** Interval at which quarantines of other hosts are read from the log. */
	private static final long QUARANTINE_POLL_MILLIS = 5000;

	/** Interval at which owners of partitions are taken from digests. */
	private static final long OWNERS_MILLIS = 50;

	/** At most one append each second and host, and only while durable events wait. */
	private static final long ACCOUNT_FLUSH_MILLIS = 1000;

	private final EntryHostBuilder builder;

	private final HostSettings settings;

	private final Ticker ticker;

	private final Vertx vertx;

	private final PeerIdentity identity;

	private final HostMetrics metrics = HostMetrics.create();

	private final HopTracer tracer;

	private final AccountEventBuffer account;

	private final EventLoop loop;

	private final BooleanSupplier ready;

	private NettyPeerTransport peers;

	private ControlRuntime control;

	private FleetViewSource fleet;

	private FleetLoadSource load = () -> FleetLoad.EMPTY;

	private ConfigurationSource configuration;

	private LogService log;

	private QuarantineLog quarantines;

	private OnlineRuntime online;

	private BatchRuntime batch;

	private BatchDispatcher dispatcher;

	private OperatorServer operators;

	private CallerServer callers;

	private volatile int operatorPort;

	HostAssembly(EntryHostBuilder builder, BooleanSupplier ready) {
		this.builder = builder;
		this.ready = ready;
		this.settings = builder.getSettings();
		this.ticker = builder.getTicker();
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(builder.getEventLoops())
			.setWorkerPoolSize(2)
			.setInternalBlockingPoolSize(2));
		this.identity = new PeerIdentity(HostId.of(this.settings.getHost()), this.ticker.wallMillis(),
				FailureDomain.of(this.settings.getFailureDomain()), Region.of(this.settings.getRegion()));
		this.tracer = HopTracer.create(this.settings);
		this.account = AccountEventBuffer.create(this.identity.host(), this.identity.incarnation(), this.ticker,
				AccountEventBuffer.DEFAULT_CAPACITY);
		this.loop = Waiting.await(EventLoop.create(this.vertx), PART_LIMIT);
	}

	void start() {
		this.configuration = this.builder::getInitialConfiguration;
		if (this.builder.getFleet() != null) {
			this.fleet = this.builder.getFleet();
		}
		else {
			startControl();
		}
		startOnline();
		if (this.peers != null) {
			startBatch();
			startOperators();
		}
		this.callers = new CallerServer(this.vertx, new CallerParts(this.settings, this.ticker, this.configuration,
				this.online, this.batch, this.metrics, this.account, this.tracer, this::isConfigured));
		Promise<Void> opened = Promise.promise();
		this.loop.execute(() -> this.callers.start().onComplete(opened));
		Waiting.await(opened.future(), PART_LIMIT);
	}

	void announceStop() {
		if (this.control != null) {
			this.control.announceStop();
		}
	}

	void stopAccepting() {
		this.callers.stopAccepting();
	}

	void stopDispatch() {
		if (this.dispatcher != null) {
			Promise<Void> stopped = Promise.promise();
			this.dispatcher.stop(stopped::complete);
			attempt("batch dispatcher", () -> Waiting.await(stopped.future(), PART_LIMIT));
		}
	}

	void stopBatch() {
		if (this.batch != null) {
			attempt("batch runtime", () -> this.batch.stop().await().atMost(PART_LIMIT));
		}
	}

	void close() {
		attempt("callers", () -> Waiting.await(this.callers.shutdown(1), PART_LIMIT));
		if (this.operators != null) {
			attempt("operators", () -> this.operators.stop().await().atMost(PART_LIMIT));
		}
		closeRest();
		this.tracer.close();
	}

	void kill() {
		if (this.batch != null) {
			this.batch.kill();
		}
		closeRest();
	}

	boolean isConfigured() {
		return this.control == null || this.control.isReady();
	}

	int getInProgress() {
		return (this.callers != null) ? this.callers.getInProgress() : 0;
	}

	int getCallerPort() {
		return (this.callers != null) ? this.callers.getPort() : 0;
	}

	int getOperatorPort() {
		return this.operatorPort;
	}

	int getPeerPort() {
		if (this.peers == null) {
			return 0;
		}
		String address = this.peers.getAddress();
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private void startControl() {
		this.peers = NettyPeerTransport.builder()
			.identity(this.identity)
			.listenAddress(this.settings.getPeerAddress())
			.tls(this.settings.getTls())
			.build();
		this.peers.start();
		HostDirectory directory = this.builder.directory(this.vertx);
		this.log = this.builder.log(this.vertx);
		this.control = ControlRuntime.builder()
			.identity(this.identity, this.peers.getAddress())
			.options(ControlOptions.of(this.settings))
			.ticker(this.ticker)
			.transport(this.peers, this.peers)
			.platform(directory, this.log)
			.account(this.account)
			.build();
		startAccount();
		this.fleet = this.control.getFleetViewSource();
		this.load = this.control.getFleetLoadSource();
		this.configuration = this::currentConfiguration;
		this.quarantines = new QuarantineLog(this.log, ControlStreams.CONTROL, this.identity.host(),
				this.identity.incarnation(), this.ticker);
		this.control.start();
	}

	private void startAccount() {
		DurableAccount durable = new DurableAccount(this.log, this.identity.host(), this.identity.incarnation(),
				this.ticker);
		this.account.setDurableSink(durable);
		this.vertx.setPeriodic(ACCOUNT_FLUSH_MILLIS, (id) -> durable.flush());
	}

	private VersionedConfiguration currentConfiguration() {
		VersionedConfiguration published = this.control.getConfigurationSource().current();
		return (published.version() > 0) ? published : this.builder.getInitialConfiguration();
	}

	private void startOnline() {
		OnlineRuntimeBuilder parts = new OnlineRuntimeBuilder(this.loop, this.identity.host())
			.withPlace(this.identity.domain(), this.identity.region())
			.withTicker(this.ticker)
			.withFleet(this.fleet)
			.withLoad(this.load)
			.withPeers(this.peers)
			.withPolicy(this.builder.getPolicy())
			.withAccount(this.account)
			.withClients(this.builder.clients(this.vertx));
		if (this.quarantines != null) {
			parts.withRecorder(this.quarantines);
		}
		this.online = parts.build();
		if (this.control != null) {
			this.control.addDigestSource(this.online::contribute);
			this.vertx.setPeriodic(QUARANTINE_POLL_MILLIS, (id) -> this.quarantines.poll(this.online));
			this.quarantines.poll(this.online);
		}
		this.online.start();
	}

	private void startBatch() {
		this.batch = this.builder.batch(new HostParts(this.settings, this.identity, this.ticker, this.peers, this.log,
				this.fleet, this.load, this.configuration, this.account, this.metrics));
		if (this.batch == null) {
			return;
		}
		this.control.addDigestSource((digest) -> digest.addAllPartitions(this.batch.ownedPartitions()));
		this.batch.start().await().atMost(PART_LIMIT);
		OwnerObserver owners = new OwnerObserver(this.batch, this.fleet, this.load, this.configuration);
		this.vertx.setPeriodic(OWNERS_MILLIS, (id) -> owners.observe());
		EventLoop batchLoop = Waiting.await(EventLoop.create(this.vertx), PART_LIMIT);
		this.dispatcher = new BatchDispatcher(batchLoop, this.ticker, this.online, this.batch.workSource());
		this.dispatcher.start();
	}

	private void startOperators() {
		this.operators = OperatorServer.create(this.vertx,
				new OperatorContext(this.settings, this.identity.incarnation(), this.ticker, this.metrics, this.account,
						this.fleet, this.configuration, ControlConfigurationAdmin.of(this.control), this.peers,
						this.log, this.ready, this::figures));
		this.operatorPort = this.operators.start().await().atMost(PART_LIMIT);
	}

	private Map<String, Object> figures() {
		Map<String, Object> online = new LinkedHashMap<>();
		online.put("requests_in_progress", getInProgress());
		online.put("quarantined", this.online.countQuarantined());
		Map<String, Object> figures = new LinkedHashMap<>();
		figures.put("online", online);
		if (this.dispatcher != null) {
			figures.put("dispatch", this.dispatcher.getFigures());
		}
		return figures;
	}

	private void closeRest() {
		if (this.control != null) {
			this.control.close();
		}
		if (this.peers != null) {
			attempt("peers", this.peers::close);
		}
		attempt("event loops", () -> Waiting.await(this.vertx.close(), PART_LIMIT));
	}

	private void attempt(String part, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			LOG.log(HostEvent.STOP_FAILED, ex, this.settings.getHost(), part);
		}
	}

	/** Waits for parts outside of event loops. */
	private static final class Waiting {

		private static <T> T await(Future<T> future, Duration limit) {
			return Uni.createFrom().completionStage(future.toCompletionStage()).await().atMost(limit);
		}

	}

}
