package org.wigeonglade.gateway.host;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.DecayedWorkspaceRates;
import org.wigeonglade.gateway.fleet.KvMemoryPolicy;
import org.wigeonglade.gateway.fleet.KvMemoryTracker;
import org.wigeonglade.gateway.fleet.OverloadPolicy;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.BufferBudget;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.http.CallerServer;
import org.wigeonglade.gateway.http.Connector;
import org.wigeonglade.gateway.job.ItemId;
import org.wigeonglade.gateway.job.ItemScheduler;
import org.wigeonglade.gateway.job.Job;
import org.wigeonglade.gateway.job.JobId;
import org.wigeonglade.gateway.job.JobRetention;
import org.wigeonglade.gateway.job.JobService;
import org.wigeonglade.gateway.job.JobTable;
import org.wigeonglade.gateway.job.OutputClaims;
import org.wigeonglade.gateway.job.RouteQuotaTracker;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.online.OnlineMetrics;
import org.wigeonglade.gateway.peer.ExchangeMetrics;
import org.wigeonglade.gateway.peer.PeerStateExchange;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.peer.RelaySelection;
import org.wigeonglade.gateway.peer.UsageExchange;
import org.wigeonglade.gateway.relay.RelayConnector;
import org.wigeonglade.gateway.relay.RelayServer;
import org.wigeonglade.gateway.route.CallerLimits;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.runner.ResponseMonitor;
import org.wigeonglade.gateway.runner.RunnerConnectionPool;
import org.wigeonglade.gateway.runner.RunnerPaths;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.KeyedStream;
import org.wigeonglade.gateway.store.PollTiming;
import org.wigeonglade.gateway.store.RecordWriter;
import org.wigeonglade.gateway.store.StreamFollower;
import org.wigeonglade.gateway.workspace.ConfigurationLease;
import org.wigeonglade.gateway.workspace.WorkspaceRateLimiter;
import org.wigeonglade.schema.generated.crash.CrashNotice;
import org.wigeonglade.schema.generated.gateway.HostEntry;
import org.wigeonglade.schema.generated.gateway.RunnerLimit;

/**
 * A gateway process: creates and connects its components, reports readiness, and shuts
 * down gracefully. All work runs on a single event loop, because the machines run one
 * thread at a time.
 */
public final class GatewayHost {

	private static final EventLogger LOG = EventLogger.of(GatewayHost.class);

	/**
	 * Reads of the configuration stream are long polls, so that a change applies within a
	 * round trip. The wait is short, so that a dead connection is detected.
	 */
	private static final PollTiming CONFIGURATION_POLL_TIMING = new PollTiming(Duration.ofMillis(50),
			Duration.ofMillis(1_000));

	/**
	 * Heartbeats of runners add no records, so reads are long polls. The wait is shorter
	 * than the gap between two responses that counts as an outage.
	 */
	private static final PollTiming RUNNER_POLL_TIMING = new PollTiming(Duration.ofMillis(50), Duration.ofMillis(900));

	/**
	 * Results must be readable on every host within a second. In a large fleet, records
	 * are appended all the time, so that the interval decides how often each host reads.
	 * The age of an idle stream reaches two waits, which must stay below
	 * {@link #MAX_JOB_STATE_AGE_MILLIS}.
	 */
	private static final PollTiming GATEWAY_STREAM_POLL_TIMING = new PollTiming(Duration.ofMillis(300),
			Duration.ofMillis(900));

	/** Interval between checks for expired state, in milliseconds. */
	private static final long MAINTENANCE_INTERVAL_MILLIS = 250;

	/**
	 * Time in milliseconds after the first listing of jobs before this host runs items.
	 * Hosts that are started at the same time must have received datagrams of each other
	 * by then, or each of them would run all items.
	 */
	private static final long STARTUP_GRACE_MILLIS = 1_200;

	/**
	 * Maximum age in milliseconds of the state of jobs for this host to run items.
	 */
	private static final long MAX_JOB_STATE_AGE_MILLIS = 2_000;

	/**
	 * Maximum age in milliseconds of the registrations of runners for this host to
	 * conclude that a runner is gone.
	 */
	private static final long MAX_RUNNER_STATE_AGE_MILLIS = 2_000;

	/** Interval between removals of expired jobs and lost hosts, in milliseconds. */
	private static final long CLEANUP_INTERVAL_MILLIS = 5_000;

	/** Limit of the interrupted requests that are named in a log line. */
	private static final int MAX_LOGGED_REQUESTS = 20;

	private final GatewaySettings settings;

	private final GatewayAdapters adapters;

	private final Ticker ticker;

	private final MultiThreadIoEventLoopGroup group;

	private final EventLoop loop;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Fleet fleet;

	private final JobTable jobTable = new JobTable();

	private final PeerTable peers = new PeerTable();

	private final CrashReportPublisher crashReports;

	private final RequestLimitPublisher limits;

	private final HostEntry self;

	private final RecordWriter writer;

	private final StreamOriginLog origins;

	private final StreamStateUpdater stateUpdater;

	private final StreamFollower configurationFollower;

	private final StreamFollower runnerFollower;

	private final StreamFollower gatewayStreamFollower;

	private final StreamAgeMonitor gatewayStreamAge;

	private final PeerStateExchange exchange;

	private final WorkspaceUsageLimiter usage;

	private final ItemScheduler items;

	private final JobService jobs;

	private final RelayServer relayServer;

	private final CallerServer callerServer;

	private final CallerServer readinessServer;

	private final CallerServer metricsServer;

	private final JobRetention retention;

	private final PeerMonitor peerMonitor;

	private GracefulShutdown shutdown;

	private boolean answerEndObserved;

	private boolean ready;

	private boolean registered;

	private long startupGraceEndMillis = -1;

	/**
	 * Creates a host that is not started.
	 * @param settings the settings, not null
	 * @param adapters the adapters of the platform, not null
	 * @param ticker the clock, not null
	 * @param random the source of random numbers, not null
	 */
	public GatewayHost(GatewaySettings settings, GatewayAdapters adapters, Ticker ticker, RandomGenerator random) {
		this.settings = settings;
		this.retention = new JobRetention(settings.resultRetention());
		this.adapters = adapters;
		this.ticker = ticker;
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.loop = (EventLoop) this.group.next();
		Connector connector = new Connector(this.loop);
		KeyedLog log = adapters.openLog(connector, this.loop);
		this.writer = new RecordWriter((records) -> log.append(KeyedStream.OWN, records), this.loop, ticker);
		this.self = HostEntry.newBuilder()
			.setHost(settings.host().value())
			.setIp(settings.peerAddress().getAddress().getHostAddress())
			.setPort(settings.peerAddress().getPort())
			.setDomain(settings.domain().value())
			.setIncarnation(ticker.wallMillis())
			.build();
		this.origins = new StreamOriginLog(adapters.openOriginLog(connector, this.loop), this.loop, ticker);
		RunnerPaths paths = new RunnerPaths(connector, new RelayConnector(this.loop),
				new ResponseMonitor(this.registry), ticker);
		paths.setRelaySelector(
				(excluded) -> RelaySelection.select(this.peers.getPeers(), settings.domain(), excluded, random));
		paths.onRelayFailure(this.peers::recordRelayFailure);
		this.peers.setReachability(paths.getDomainReachability());
		this.fleet = new Fleet(new RunnerConnectionPool(paths, ticker), adapters.getRunnerProtocol(), settings.domain(),
				ticker);
		this.fleet.setLiveHostCount(() -> this.peers.getLiveCount() + 1);
		this.fleet.setDomainSuspicionTest((domain) -> this.peers.isDomainSuspected(domain, ticker.millis()));
		PlacementPolicy policy = new PlacementPolicy(random, this::reportLag);
		this.peerMonitor = new PeerMonitor(settings.host(), this.peers, this.writer, ticker);
		this.stateUpdater = new StreamStateUpdater(adapters, this.fleet, this.jobTable, this.peers, ticker, this.self,
				this::register);
		this.exchange = new PeerStateExchange(this.self, this.loop, ticker, this.fleet.getLoadTracker(),
				this.fleet.getRequestLimits(), this.peers, new PeerListener());
		this.exchange.setMetrics(new ExchangeMetrics(this.registry));
		WorkspaceRateLimiter rateLimiter = new WorkspaceRateLimiter(this.self.getIncarnation(), random,
				ticker.millis());
		this.exchange.setUsageExchange(new UsageExchange(rateLimiter));
		this.usage = new WorkspaceUsageLimiter(rateLimiter, this.exchange::scheduleLoadReport, this.registry, ticker);
		this.stateUpdater
			.onConfigurationApplied((table) -> this.peers.setWorkspacesLimited(this.usage.setLimits(table)));
		KvMemoryPolicy memory = new KvMemoryPolicy(new KvMemoryTracker(), this::findKvCapacity, this::reportLag,
				() -> this.peers.getHostStatuses(ticker.millis()));
		this.fleet.setMemoryPolicy(memory);
		this.exchange.setMemoryTracker(memory.getTracker());
		MemoryMetrics.registerTokens(this.registry, this.fleet);
		this.crashReports = new CrashReportPublisher(this.self, this.exchange, this.writer, this.loop, ticker);
		this.limits = new RequestLimitPublisher(this.fleet, this.exchange, this.writer, ticker);
		this.configurationFollower = new StreamFollower(log, KeyedStream.CONFIGURATION, CONFIGURATION_POLL_TIMING,
				this.loop, ticker, this.stateUpdater.configurationListener());
		this.runnerFollower = new StreamFollower(log, KeyedStream.RUNNERS, RUNNER_POLL_TIMING, this.loop, ticker,
				this.stateUpdater.runnerListener());
		this.fleet.setRegistrations(this.runnerFollower::whenCaughtUp);
		this.gatewayStreamFollower = new StreamFollower(log, KeyedStream.OWN, GATEWAY_STREAM_POLL_TIMING, this.loop,
				ticker, this.stateUpdater.gatewayStreamListener(this::jobChanged, this.crashReports, this.limits));
		this.gatewayStreamAge = new StreamAgeMonitor(KeyedStream.OWN, this.gatewayStreamFollower,
				MAX_JOB_STATE_AGE_MILLIS, this.registry, ticker);
		this.relayServer = new RelayServer(this.loop, this.fleet.getDirectory()::find,
				() -> !paths.isCutOff() && this.shutdown == null);
		this.exchange.setRelaySupplier(this.relayServer::isAvailable);
		this.exchange.setRegistrationsSteady(() -> this.fleet.getDirectory().isSteady(ticker.millis()));
		this.exchange.setSpeeds(this.fleet.getSpeeds(), this.fleet.getDirectory()::find);
		this.fleet.onCutOff(this.exchange::scheduleReport);
		this.fleet.onLoadChanged(this.exchange::scheduleLoadReport);
		this.fleet.onRunnerLeaving(this.exchange::scheduleReport);
		this.items = ItemScheduler.of(settings.host(), this.self.getIncarnation(), this.jobTable, this.peers,
				this.fleet, policy, this.loop, ticker, this.writer, this.configurationFollower);
		this.exchange.setStateSuppliers(() -> this.shutdown != null, this.items::isCaughtUp,
				this.items::getWaitingCount, this.fleet::getLeaving, this.items::getFailures);
		this.exchange.setOutputClaims(this.items::getClaims);
		this.items.onFailure(this.exchange::scheduleReport);
		this.items.onAssignmentChanged(this.exchange::scheduleReport);
		RouteQuotaTracker quota = new RouteQuotaTracker(this.jobTable, this.fleet::getRoutingTable,
				() -> this.peers.getPeers().size() + 1, this.gatewayStreamFollower::getAgeMillis, ticker);
		this.jobs = new JobService(this.jobTable, this.gatewayStreamFollower, log, quota, adapters.getCallerProtocol(),
				this.loop, ticker);
		OverloadPolicy overload = new OverloadPolicy(random, new DecayedWorkspaceRates(this::findRateLimit));
		OnlineContext online = new OnlineContext(this.loop, ticker, this.fleet, policy, overload,
				adapters.getCallerProtocol(), this.crashReports, this.origins,
				new SlotPreemptor(settings.host(), this.items, this.fleet.getLoadTracker(), this.exchange),
				new OnlineMetrics(this.registry), this.usage);
		CallerAuthorizer authorizer = new CallerAuthorizer(this.fleet, adapters.getCallerProtocol(),
				this.configurationFollower, ConfigurationLease.of(settings.revocationDelay()), ticker);
		this.callerServer = new CallerServer(this.group, ticker, this::callerLimits,
				new CallRouter(this.jobs, online, this.configurationFollower, authorizer, () -> this.shutdown)::handle);
		BufferBudget budget = BufferBudget.ofProcess();
		this.callerServer.setBudget(budget);
		MemoryMetrics.registerBuffers(this.registry, budget);
		this.readinessServer = new CallerServer(this.group, ticker, () -> CallerLimits.DEFAULTS, this::answerReadiness);
		this.metricsServer = new CallerServer(this.group, ticker, () -> CallerLimits.DEFAULTS, this::answerMetrics);
	}

	/**
	 * Binds all sockets and starts to read the streams of the store. Fails if a socket
	 * other than that of the metrics cannot be bound.
	 */
	public void start() {
		long startMillis = this.ticker.millis();
		this.readinessServer.listen(this.settings.readinessAddress()).syncUninterruptibly();
		this.callerServer.listen(this.settings.callerAddress()).syncUninterruptibly();
		this.exchange.listen(this.settings.peerAddress()).syncUninterruptibly();
		this.relayServer.listen(this.settings.peerAddress()).addListener((bound) -> {
			if (!bound.isSuccess()) {
				LOG.log(GatewayEvent.RELAY_UNAVAILABLE, this.settings.peerAddress(), FailureText.of(bound.cause()));
			}
		});
		this.metricsServer.listen(this.settings.metricsAddress()).addListener((bound) -> {
			if (!bound.isSuccess()) {
				LOG.log(GatewayEvent.METRICS_UNAVAILABLE, this.settings.metricsAddress(),
						FailureText.of(bound.cause()));
			}
		});
		this.loop.submit(() -> {
			this.configurationFollower.start();
			this.runnerFollower.start();
			this.gatewayStreamFollower.start();
			register();
			this.loop.scheduleWithFixedDelay(catchAndLog(this::maintain), MAINTENANCE_INTERVAL_MILLIS,
					MAINTENANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			this.loop.scheduleWithFixedDelay(catchAndLog(this::cleanUp), CLEANUP_INTERVAL_MILLIS,
					CLEANUP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			scheduleItemStep();
		}).syncUninterruptibly();
		LOG.log(GatewayEvent.STARTED, this.settings.host(), this.settings.domain(), this.self.getIncarnation(),
				this.ticker.millis() - startMillis);
	}

	/**
	 * Shuts down gracefully: reports that the host is not ready, lets requests in
	 * progress complete, and returns when none is left or the grace period is nearly
	 * over. Blocks; must not be called on the event loop.
	 */
	public void stop() {
		stopSince(this.ticker.millis());
	}

	/**
	 * Shuts down gracefully as {@link #stop()} does.
	 * @param signalMillis the monotonic time in milliseconds from which the grace period
	 * counts
	 */
	public void stopSince(long signalMillis) {
		this.loop.submit(() -> {
			this.shutdown = new GracefulShutdown(signalMillis, this.settings.gracePeriod());
			LOG.log(GatewayEvent.STOPPING, this.settings.host(), this.callerServer.getBusyConnectionCount(),
					this.items.getRunningCount(), this.ticker.millis() - signalMillis);
			this.callerServer.drain();
			this.jobs.limitTime(this.shutdown.getAnswerEndMillis());
			this.items.stop(this.shutdown.getItemDrainEndMillis());
			this.exchange.scheduleReport();
		}).syncUninterruptibly();
		boolean closed = false;
		while (!closed) {
			sleep();
			closed = this.loop.submit(this::closeIfDrained).syncUninterruptibly().getNow();
		}
		this.group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops immediately, without draining, as if the process were killed; for tests.
	 */
	public void kill() {
		if (this.group.isShuttingDown()) {
			return;
		}
		this.loop.submit(this::close).syncUninterruptibly();
		this.group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/**
	 * Returns the address on which the host accepts requests.
	 * @return the address, never null after {@link #start()}
	 */
	public InetSocketAddress getCallerAddress() {
		return this.callerServer.getAddress();
	}

	/**
	 * Returns whether the host reports that it is ready.
	 * @return true if it has a configuration and registered runners and is not shutting
	 * down
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns the number of other hosts that may run items. Blocks until the event loop
	 * has responded.
	 * @return the number
	 */
	public int getEligiblePeers() {
		return this.loop.submit(() -> (int) this.peers.getPeers().stream().filter(PeerTable.Peer::isEligible).count())
			.syncUninterruptibly()
			.getNow();
	}

	private void close() {
		this.configurationFollower.stop();
		this.runnerFollower.stop();
		this.gatewayStreamFollower.stop();
		this.items.cancelAll();
		this.relayServer.close();
		this.callerServer.close();
		this.readinessServer.close();
		this.metricsServer.close();
	}

	// Both in one task, so that no request is accepted in between.
	private boolean closeIfDrained() {
		boolean drained = isDrained();
		if (drained) {
			LOG.log(GatewayEvent.STOPPED, this.settings.host(), this.shutdown.getElapsed(this.ticker.millis()),
					this.callerServer.getBusyConnectionCount(), describeRequestsInProgress(),
					this.items.getRunningCount(), this.relayServer.getBusyConnectionCount(),
					this.writer.getPendingCount());
			close();
		}
		return drained;
	}

	private boolean isDrained() {
		long now = this.ticker.millis();
		if (!this.shutdown.isRunningItems(now)) {
			this.items.cancelAll();
		}
		if (this.shutdown.isKeepingIdleConnections(now)) {
			return false;
		}
		this.callerServer.closeIdle();
		boolean idle = this.callerServer.isIdle() && this.items.getUnfinishedCount() == 0
				&& this.relayServer.getBusyConnectionCount() == 0 && this.writer.getPendingCount() == 0
				&& this.origins.getPendingCount() == 0;
		return idle || isOver(now);
	}

	// Responses and time limits that are due are handled between two calls, also after a
	// pause of the process.
	private boolean isOver(long now) {
		boolean observed = this.answerEndObserved;
		this.answerEndObserved = now >= this.shutdown.getAnswerEndMillis();
		return observed && this.shutdown.isOver(now);
	}

	private static void sleep() {
		try {
			Thread.sleep(50);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted during a graceful shutdown", ex);
		}
	}

	// The ids of the requests in progress and the times in milliseconds since their
	// arrival.
	private List<String> describeRequestsInProgress() {
		long now = this.ticker.millis();
		return this.callerServer.getRequestsInProgress()
			.stream()
			.limit(MAX_LOGGED_REQUESTS)
			.map((call) -> this.adapters.getCallerProtocol().requestId(call.getRequest().headers()).orElse("?") + ":"
					+ (now - call.getArrivedMillis()))
			.toList();
	}

	private void register() {
		KeyedRecord registration = KeyedRecord.of(StreamStateUpdater.HOST_KEY_PREFIX + this.settings.host(),
				this.self.toByteArray());
		this.writer.add(() -> registration, () -> this.registered = true);
	}

	private void scheduleItemStep() {
		this.loop.schedule(() -> {
			catchAndLog(() -> this.items.step(isStartupGraceOver(), isJobStateCurrent(), isLagging())).run();
			scheduleItemStep();
		}, this.items.getStepIntervalMillis(), TimeUnit.MILLISECONDS);
	}

	private void maintain() {
		this.fleet.maintain();
		this.crashReports.expire();
		this.limits.repeat();
		this.jobs.removeFinishedLongPolls();
		this.peerMonitor.checkLiveness();
		this.usage.maintain(this.peers, this.gatewayStreamFollower.isListed());
		this.gatewayStreamAge.check();
		this.exchange.sendHeartbeats();
		this.callerServer.cutOffSlowReaders();
		updateReadiness();
	}

	private void cleanUp() {
		if (isJobStateCurrent()) {
			this.items.removeExpiredJobs(this.retention);
			this.peerMonitor.deregisterSilentHosts();
			if (this.peerMonitor.isLowestEligibleHost()) {
				this.crashReports.removeExpiredRecords();
				this.limits.removeObsoleteRecords(this.runnerFollower.getAgeMillis() <= MAX_RUNNER_STATE_AGE_MILLIS);
			}
		}
	}

	private void updateReadiness() {
		String reason = null;
		if (this.shutdown != null) {
			reason = "stopping";
		}
		else if (this.fleet.getRoutingTable() == null) {
			reason = "no configuration has been read";
		}
		else if (this.fleet.getDirectory().getEntries().isEmpty()) {
			reason = "no runner is registered";
		}
		else if (!this.gatewayStreamFollower.isListed()) {
			reason = "the jobs have not been read";
		}
		if ((reason == null) != this.ready) {
			this.ready = reason == null;
			LOG.log(GatewayEvent.READINESS, this.ready, reason);
		}
	}

	private boolean isStartupGraceOver() {
		if (this.startupGraceEndMillis < 0 && this.gatewayStreamFollower.isListed()) {
			this.startupGraceEndMillis = this.ticker.millis() + STARTUP_GRACE_MILLIS;
		}
		return this.startupGraceEndMillis >= 0 && this.ticker.millis() >= this.startupGraceEndMillis;
	}

	private boolean isJobStateCurrent() {
		return this.registered && isStartupGraceOver()
				&& this.gatewayStreamFollower.getAgeMillis() <= MAX_JOB_STATE_AGE_MILLIS;
	}

	private boolean isLagging() {
		return this.gatewayStreamFollower.isReachable()
				&& this.gatewayStreamFollower.getAgeMillis() > MAX_JOB_STATE_AGE_MILLIS;
	}

	private double findRateLimit(WorkspaceId workspace) {
		return Optional.ofNullable(this.fleet.getRoutingTable())
			.flatMap((table) -> table.getWorkspaces().find(workspace))
			.map((found) -> found.limit().requestsPerSecond())
			.orElse(0.0);
	}

	private Duration reportLag() {
		return this.exchange.getReportLag();
	}

	private OptionalLong findKvCapacity(ServiceName service) {
		RoutingTable table = this.fleet.getRoutingTable();
		return (table != null && this.settings.runnerMemoryLimited()) ? table.findKvCapacity(service)
				: OptionalLong.empty();
	}

	private CallerLimits callerLimits() {
		RoutingTable table = this.fleet.getRoutingTable();
		return (table != null) ? table.getLimits() : CallerLimits.DEFAULTS;
	}

	private void jobChanged(Job job) {
		this.jobs.jobChanged(job);
	}

	private void answerReadiness(CallerExchange call) {
		updateReadiness();
		call.respond(this.ready ? 200 : 503, List.of(), new byte[0]);
	}

	private void answerMetrics(CallerExchange call) {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(text, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		call.respond(200, List.of(Map.entry("Content-Type", "text/plain; version=0.0.4")), text.toByteArray());
	}

	private Runnable catchAndLog(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | StackOverflowError | OutOfMemoryError ex) {
				LOG.log(GatewayEvent.UNEXPECTED, ex, (Object) null);
			}
		};
	}

	private final class PeerListener implements PeerStateExchange.Listener {

		@Override
		public void hostDiscovered(HostEntry sender) {
			GatewayHost.this.stateUpdater.register(sender);
		}

		@Override
		public void preemptionRequested(RunnerId runner, int slots) {
			GatewayHost.this.items.preempt(runner, slots);
		}

		@Override
		public void runnerLeavingReported(RunnerId runner, long startedMillis, HostId source) {
			GatewayHost.this.fleet.markReportedLeaving(runner, startedMillis, source);
		}

		@Override
		public void itemFailuresReported(HostEntry sender, JobId job, ItemId item, int failures) {
			GatewayHost.this.items.recordRemoteFailures(sender.getHost() + "." + sender.getIncarnation(), job, item,
					failures);
		}

		@Override
		public void outputClaimed(HostId host, List<OutputClaims.Claim> claims) {
			GatewayHost.this.items.recordClaims(host, claims);
		}

		@Override
		public void hostAlive(HostId host) {
			GatewayHost.this.crashReports.sendUnstoredReports(host);
			GatewayHost.this.limits.sendAll(host);
		}

		@Override
		public void registrationsSteady(HostId host) {
			GatewayHost.this.fleet.recordSteadyHost(host);
		}

		@Override
		public void limitReported(RunnerLimit limit, HostId source) {
			GatewayHost.this.limits.apply(limit, source.value());
		}

		@Override
		public void crashReported(CrashNotice notice) {
			GatewayHost.this.crashReports.apply(notice);
		}

	}

}
