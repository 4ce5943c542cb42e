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
import org.wigeonglade.entry.caller.CallerContext;
import org.wigeonglade.entry.caller.CallerServer;
import org.wigeonglade.entry.caller.DrainPeriod;
import org.wigeonglade.entry.control.ControlConfigurationAdmin;
import org.wigeonglade.entry.control.ControlOptions;
import org.wigeonglade.entry.control.ControlRuntime;
import org.wigeonglade.entry.control.ControlStreams;
import org.wigeonglade.entry.online.BatchDispatcher;
import org.wigeonglade.entry.online.EventLoop;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.entry.online.OnlineRuntimeBuilder;
import org.wigeonglade.entry.online.QuarantineLog;
import org.wigeonglade.entry.operator.DurableEventWriter;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.entry.operator.HostMetrics;
import org.wigeonglade.entry.operator.OperatorContext;
import org.wigeonglade.entry.operator.OperatorServer;
import org.wigeonglade.peer.NettyPeerTransport;
import org.wigeonglade.peer.PeerIdentity;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Creates, connects, starts and stops the components of one host.
 */
final class HostAssembly {

	private static final EventLogger LOG = EventLogger.of(HostAssembly.class);

	/** Time within which a component must start or stop. */
	private static final Duration COMPONENT_TIMEOUT = Duration.ofSeconds(10);

	/** Interval at which quarantines recorded by other hosts are read from the log. */
	private static final long QUARANTINE_POLL_MILLIS = 5000;

	/** Interval at which partition owners are updated from received digests. */
	private static final long OWNER_POLL_MILLIS = 50;

	/** Limits a host to one append per second, and only if durable events are pending. */
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

	private NettyPeerTransport transport;

	private ControlRuntime control;

	private FleetViewSource fleet;

	private FleetLoadSource load = () -> FleetLoad.EMPTY;

	private ConfigurationSource configuration;

	private LogService log;

	private QuarantineLog quarantineLog;

	private OnlineRuntime online;

	private BatchRuntime batch;

	private BatchDispatcher dispatcher;

	private OperatorServer operatorServer;

	private CallerServer callerServer;

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
		this.loop = Futures.await(EventLoop.create(this.vertx), COMPONENT_TIMEOUT);
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
		if (this.transport != null) {
			startBatch();
			startOperatorServer();
		}
		this.callerServer = new CallerServer(this.vertx,
				new CallerContext(this.settings, this.ticker, this.configuration, this.online, this.batch, this.metrics,
						this.account, this.tracer, this::isConfigured));
		Promise<Void> opened = Promise.promise();
		this.loop.execute(() -> this.callerServer.start().onComplete(opened));
		Futures.await(opened.future(), COMPONENT_TIMEOUT);
	}

	void announceStop(DrainPeriod period) {
		this.callerServer.drain(period);
		if (this.control != null) {
			this.control.announceStop();
		}
	}

	void stopDispatch() {
		if (this.dispatcher != null) {
			Promise<Void> stopped = Promise.promise();
			this.dispatcher.stop(stopped::complete);
			stopComponent("batch dispatcher", () -> Futures.await(stopped.future(), COMPONENT_TIMEOUT));
		}
	}

	void stopBatch() {
		if (this.batch != null) {
			stopComponent("batch runtime", () -> this.batch.stop().await().atMost(COMPONENT_TIMEOUT));
		}
	}

	void close() {
		stopComponent("callers", () -> Futures.await(this.callerServer.shutdown(1), COMPONENT_TIMEOUT));
		if (this.operatorServer != null) {
			stopComponent("operators", () -> this.operatorServer.stop().await().atMost(COMPONENT_TIMEOUT));
		}
		closeInfrastructure();
		this.tracer.close();
	}

	void kill() {
		if (this.batch != null) {
			this.batch.kill();
		}
		closeInfrastructure();
	}

	boolean isConfigured() {
		return this.control == null || this.control.isReady();
	}

	int getInterrupted() {
		return (this.callerServer != null) ? this.callerServer.getInterruptedRequests() : 0;
	}

	int getInProgress() {
		return (this.callerServer != null) ? this.callerServer.getRequestsInProgress() : 0;
	}

	int getCallerPort() {
		return (this.callerServer != null) ? this.callerServer.getPort() : 0;
	}

	int getOperatorPort() {
		return this.operatorPort;
	}

	int getPeerPort() {
		if (this.transport == null) {
			return 0;
		}
		String address = this.transport.getAddress();
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private void startControl() {
		this.transport = NettyPeerTransport.builder()
			.identity(this.identity)
			.listenAddress(this.settings.getPeerAddress())
			.tls(this.settings.getTls())
			.build();
		this.transport.start();
		HostDirectory directory = this.builder.createHostDirectory(this.vertx);
		this.log = this.builder.createLogService(this.vertx);
		this.control = ControlRuntime.builder()
			.identity(this.identity, this.transport.getAddress())
			.options(ControlOptions.of(this.settings))
			.ticker(this.ticker)
			.transport(this.transport, this.transport)
			.platform(directory, this.log)
			.account(this.account)
			.build();
		startAccount();
		this.fleet = this.control.getFleetViewSource();
		this.load = this.control.getFleetLoadSource();
		this.configuration = this::currentConfiguration;
		this.quarantineLog = new QuarantineLog(this.log, ControlStreams.CONTROL, this.identity.host(),
				this.identity.incarnation(), this.ticker);
		this.control.start();
	}

	private void startAccount() {
		DurableEventWriter durable = new DurableEventWriter(this.log, this.identity.host(), this.identity.incarnation(),
				this.ticker);
		this.account.setDurableSink(durable);
		this.vertx.setPeriodic(ACCOUNT_FLUSH_MILLIS, (id) -> durable.flush());
	}

	private VersionedConfiguration currentConfiguration() {
		VersionedConfiguration published = this.control.getConfigurationSource().current();
		return (published.version() > 0) ? published : this.builder.getInitialConfiguration();
	}

	private void startOnline() {
		OnlineRuntimeBuilder onlineBuilder = new OnlineRuntimeBuilder(this.loop, this.identity.host())
			.withLocation(this.identity.domain(), this.identity.region())
			.withTicker(this.ticker)
			.withFleet(this.fleet)
			.withLoad(this.load)
			.withPeers(this.transport)
			.withPolicy(this.builder.getPolicy())
			.withAccount(this.account)
			.withClients(this.builder.createUpstreamClientFactory(this.vertx));
		if (this.quarantineLog != null) {
			onlineBuilder.withQuarantineRecorder(this.quarantineLog);
		}
		this.online = onlineBuilder.build();
		if (this.control != null) {
			this.control.addDigestSource(this.online::contribute);
			this.vertx.setPeriodic(QUARANTINE_POLL_MILLIS, (id) -> this.quarantineLog.poll(this.online));
			this.quarantineLog.poll(this.online);
		}
		this.online.start();
	}

	private void startBatch() {
		this.batch = this.builder.createBatchRuntime(new HostComponents(this.settings, this.identity, this.ticker,
				this.transport, this.log, this.fleet, this.load, this.configuration, this.account, this.metrics));
		if (this.batch == null) {
			return;
		}
		this.control.addDigestSource((digest) -> digest.addAllPartitions(this.batch.ownedPartitions()));
		this.batch.start().await().atMost(COMPONENT_TIMEOUT);
		PartitionOwnerUpdater owners = new PartitionOwnerUpdater(this.batch, this.fleet, this.load, this.configuration);
		this.vertx.setPeriodic(OWNER_POLL_MILLIS, (id) -> owners.update());
		EventLoop batchLoop = Futures.await(EventLoop.create(this.vertx), COMPONENT_TIMEOUT);
		this.dispatcher = new BatchDispatcher(batchLoop, this.ticker, this.online, this.batch.workSource());
		this.dispatcher.start();
	}

	private void startOperatorServer() {
		this.operatorServer = OperatorServer.create(this.vertx,
				new OperatorContext(this.settings, this.identity.incarnation(), this.ticker, this.metrics, this.account,
						this.fleet, this.configuration, ControlConfigurationAdmin.of(this.control), this.transport,
						this.log, this.ready, this::getStatistics));
		this.operatorPort = this.operatorServer.start().await().atMost(COMPONENT_TIMEOUT);
	}

	private Map<String, Object> getStatistics() {
		Map<String, Object> online = new LinkedHashMap<>();
		online.put("requests_in_progress", getInProgress());
		online.put("quarantined", this.online.countQuarantined());
		Map<String, Object> statistics = new LinkedHashMap<>();
		statistics.put("online", online);
		if (this.dispatcher != null) {
			statistics.put("dispatch", this.dispatcher.getStatistics());
		}
		return statistics;
	}

	private void closeInfrastructure() {
		if (this.control != null) {
			this.control.close();
		}
		if (this.transport != null) {
			stopComponent("peers", this.transport::close);
		}
		stopComponent("event loops", () -> Futures.await(this.vertx.close(), COMPONENT_TIMEOUT));
	}

	private void stopComponent(String name, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			LOG.log(HostEvent.STOP_FAILED, ex, this.settings.getHost(), name);
		}
	}

	/** Blocking waits, for use outside of event loops. */
	private static final class Futures {

		private static <T> T await(Future<T> future, Duration limit) {
			return Uni.createFrom().completionStage(future.toCompletionStage()).await().atMost(limit);
		}

	}

}
