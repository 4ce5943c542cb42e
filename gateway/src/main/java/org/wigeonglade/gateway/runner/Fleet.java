package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.HoldTimeEstimate;
import org.wigeonglade.gateway.fleet.KvMemoryPolicy;
import org.wigeonglade.gateway.fleet.LeavingRunners;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.ProcessIdentity;
import org.wigeonglade.gateway.fleet.RequestLimit;
import org.wigeonglade.gateway.fleet.RequestLimits;
import org.wigeonglade.gateway.fleet.RunnerCapacity;
import org.wigeonglade.gateway.fleet.RunnerDirectory;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerHealth;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.RunnerLifetime;
import org.wigeonglade.gateway.fleet.RunnerSpeeds;
import org.wigeonglade.gateway.fleet.SoftwareVersion;
import org.wigeonglade.gateway.fleet.VersionHistory;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.route.ServiceSpec;

/**
 * This host's view of the runners: registrations, load, health, and pooled connections.
 * Confined to the event loop.
 */
public final class Fleet {

	private static final EventLogger LOG = EventLogger.of(Fleet.class);

	/**
	 * Limit of connections to a runner over all hosts if the configuration does not
	 * describe its service.
	 */
	private static final int DEFAULT_CONNECTIONS = 16;

	/** Time after which registrations that cannot be read count as out of date. */
	private static final Duration REGISTRATIONS_TIMEOUT = Duration.ofMillis(500);

	private static final Runnable NO_ACTION = () -> {
	};

	/** Lower bound of the limit of connections from one host to a runner. */
	private static final int MIN_CONNECTIONS = 8;

	private final RunnerDirectory directory = new RunnerDirectory();

	private final LoadTracker loadTracker = new LoadTracker();

	private final RunnerHealth health = new RunnerHealth();

	private final LeavingRunners leaving = new LeavingRunners();

	private final VersionHistory versions = new VersionHistory();

	private final Set<RunnerLifetime> reportless = new HashSet<>();

	private final RequestLimits requestLimits = new RequestLimits(new Random());

	private final Map<ServiceName, HoldTimeEstimate> serviceHoldTimes = new HashMap<>();

	/**
	 * Learned capacity is not used: on a played day with runners of unlike speed, while
	 * all hosts were restarted in turn, more streams were late with it than without.
	 */
	private final RunnerSpeeds speeds = RunnerSpeeds.disabled();

	private final Map<RunnerId, HoldTimeEstimate> runnerHoldTimes = new HashMap<>();

	private final RunnerConnectionPool pool;

	private final RunnerProber prober;

	private final RunnerProtocol protocol;

	private final FailureDomain domain;

	private final Ticker ticker;

	private IntSupplier liveHostCount = () -> 1;

	private Predicate<FailureDomain> domainSuspected = (d) -> false;

	private Runnable loadListener = () -> {
	};

	private Consumer<RunnerId> limitListener = (runner) -> {
	};

	private Runnable cutOffListener = () -> {
	};

	private Runnable leavingListener = () -> {
	};

	private Registrations registrations = (timeout, onCurrent, onTimeout) -> onTimeout.run();

	private RoutingTable table;

	private KvMemoryPolicy memory = KvMemoryPolicy.none();

	/**
	 * Creates a fleet without runners.
	 * @param pool the connections to runners, not null
	 * @param protocol reads and writes the headers of runners, not null
	 * @param domain the failure domain of this host, not null
	 * @param ticker the clock, not null
	 */
	public Fleet(RunnerConnectionPool pool, RunnerProtocol protocol, FailureDomain domain, Ticker ticker) {
		this.pool = pool;
		this.prober = new RunnerProber(pool, this.directory);
		this.protocol = protocol;
		this.domain = domain;
		this.ticker = ticker;
		pool.getPaths().setRegisteredCount(() -> this.directory.getEntries().size());
		pool.getPaths().onCutOff(this::forgetFailures);
	}

	/**
	 * Sets the supplier of the number of live hosts that share the runners.
	 * @param supplier returns the number, including this host; not null
	 */
	public void setLiveHostCount(IntSupplier supplier) {
		this.liveHostCount = supplier;
	}

	/**
	 * Sets the policy that accounts for the memory of runners.
	 * @param policy the policy, not null
	 */
	public void setMemoryPolicy(KvMemoryPolicy policy) {
		this.memory = policy;
	}

	/**
	 * Returns the policy that accounts for the memory of runners.
	 * @return the policy, never null
	 */
	public KvMemoryPolicy getMemoryPolicy() {
		return this.memory;
	}

	/**
	 * Sets the test for failure domains that seem to be partitioned from this host.
	 * @param test true for a failure domain that is suspected to be partitioned, not null
	 */
	public void setDomainSuspicionTest(Predicate<FailureDomain> test) {
		this.domainSuspected = test;
	}

	/**
	 * Returns whether other runners are to be preferred to a runner.
	 * @param runner the runner, not null
	 * @return true after recent failures, or while its failure domain is suspected
	 */
	public boolean isAvoided(RunnerEntry runner) {
		return isAvoided(runner, this.domainSuspected);
	}

	private boolean isAvoided(RunnerEntry runner, Predicate<FailureDomain> suspected) {
		return this.health.isAvoided(runner.id(), this.ticker.millis()) || suspected.test(runner.domain());
	}

	/**
	 * Sets the listener to changes of the number of requests in progress.
	 * @param listener called on the event loop after each change, not null
	 */
	public void onLoadChanged(Runnable listener) {
		this.loadListener = listener;
	}

	/**
	 * Applies a configuration.
	 * @param next the configuration, not null
	 */
	public void setRoutingTable(RoutingTable next) {
		this.table = next;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or null before the first was received
	 */
	public RoutingTable getRoutingTable() {
		return this.table;
	}

	/**
	 * Returns the registered runners.
	 * @return the directory, never null
	 */
	public RunnerDirectory getDirectory() {
		return this.directory;
	}

	/**
	 * Adds or replaces a registration.
	 * @param entry the registration, not null
	 * @return true if it is new or differs from the previous one
	 */
	public boolean register(RunnerEntry entry) {
		this.versions.record(entry, this.ticker.millis());
		return this.directory.put(entry);
	}

	/**
	 * Records that another host has read the registrations without an outage.
	 * @param host the other host, not null
	 */
	public void recordSteadyHost(HostId host) {
		List<RunnerId> removed = this.directory.recordSteadyHost(this.ticker.millis());
		if (!removed.isEmpty()) {
			LOG.log(GatewayEvent.RUNNERS_REMOVED_AFTER_OUTAGE, host, removed);
		}
	}

	/**
	 * Sets how registrations are read on demand.
	 * @param reader reads them, not null
	 */
	public void setRegistrations(Registrations reader) {
		this.registrations = reader;
	}

	/**
	 * Brings the registrations of runners up to date.
	 * @param onCurrent run once they are at least as new as this call, not null
	 * @param onTimeout run instead if they cannot be read in time, not null
	 */
	public void refreshRegistrations(Runnable onCurrent, Runnable onTimeout) {
		this.registrations.refresh(REGISTRATIONS_TIMEOUT, onCurrent, onTimeout);
	}

	long getMillis() {
		return this.ticker.millis();
	}

	/**
	 * Identifies the process of a runner that a connection leads to. Registrations are
	 * read when a process is seen that is not registered.
	 * @param placed the entry by which the connection was opened, not null
	 * @param startedMillis the start of the process in milliseconds since the epoch, by
	 * its own report on the connection
	 * @return the identity, never null
	 */
	ProcessIdentity identify(RunnerEntry placed, long startedMillis) {
		boolean seen = this.directory.find(placed.id())
			.filter((entry) -> entry.startedMillis() == startedMillis)
			.isPresent();
		ProcessIdentity identity = this.directory.identify(placed, startedMillis);
		if (!seen && identity instanceof ProcessIdentity.Unregistered unregistered) {
			LOG.log(GatewayEvent.RUNNER_RESTARTED, placed.id(), placed.startedMillis(), startedMillis);
			this.versions.record(unregistered.entry(), this.ticker.millis());
			refreshRegistrations(NO_ACTION, NO_ACTION);
		}
		return identity;
	}

	/**
	 * Records that a process of a runner does not tell when it started.
	 * @param runner the runner, not null
	 */
	void recordReportless(RunnerEntry runner) {
		this.reportless.add(runner.getLifetime());
	}

	/**
	 * Returns whether a process of a runner is known not to tell when it started.
	 * @param runner the runner, not null
	 * @return true if it need not be asked
	 */
	boolean isReportless(RunnerEntry runner) {
		return this.reportless.contains(runner.getLifetime());
	}

	/**
	 * Returns the software version of a process of a runner.
	 * @param process the process, not null
	 * @return the version, empty if its registration has not been read
	 */
	public Optional<SoftwareVersion> findVersion(RunnerLifetime process) {
		return this.versions.findVersion(process);
	}

	/**
	 * Records that all registrations were listed, so that others may have come and gone
	 * unseen before.
	 */
	public void registrationsListed() {
		this.versions.restart(this.ticker.millis());
	}

	/**
	 * Returns the numbers of requests in progress at the runners.
	 * @return the numbers over all hosts, never null
	 */
	public LoadTracker getLoadTracker() {
		return this.loadTracker;
	}

	/**
	 * Records a complete response.
	 * @param runner the runner, not null
	 */
	public void recordSuccess(RunnerEntry runner) {
		this.health.recordSuccess(runner.id());
	}

	/**
	 * Records a failure of a runner, after which it is avoided for a while.
	 * @param runner the runner, not null
	 * @param kind the kind of failure for the log, not null
	 * @return the time in milliseconds for which this host avoids the runner
	 */
	public long recordFailure(RunnerEntry runner, String kind) {
		if (this.pool.getPaths().isRelayed() && mayBeDueToLostLinks(kind)) {
			return 0;
		}
		long now = this.ticker.millis();
		long millis = this.health.recordFailure(runner.id(), now) - now;
		LOG.log(GatewayEvent.RUNNER_AVOIDED, runner.id(), millis, kind);
		return millis;
	}

	/**
	 * Returns whether this host has lost its way to the runners.
	 * @return true until a direct connection succeeds
	 */
	public boolean isCutOff() {
		return this.pool.getPaths().isCutOff();
	}

	/**
	 * Sets the listener that is called when this host has lost its way to the runners.
	 * @param listener called on the event loop, not null
	 */
	public void onCutOff(Runnable listener) {
		this.cutOffListener = listener;
	}

	// What failed were the links of this host and not the runners.
	private void forgetFailures() {
		this.health.clear();
		this.cutOffListener.run();
	}

	// While connections are relayed, a runner that is unreachable is so for others too.
	private static boolean mayBeDueToLostLinks(String kind) {
		return RunnerFailure.Kind.BROKEN.name().equals(kind) || RunnerFailure.Kind.SILENT.name().equals(kind);
	}

	/**
	 * Records that a runner process has said that it is leaving, so that it receives no
	 * further requests.
	 * @param runner the runner, not null
	 * @param startedMillis the start time of the process, in milliseconds since the
	 * epoch; a process that starts later under the same id is not affected
	 * @return true if it was not recorded before
	 */
	public boolean markLeaving(RunnerId runner, long startedMillis) {
		boolean added = addLeaving(runner, startedMillis, "the runner");
		if (added) {
			this.leavingListener.run();
		}
		return added;
	}

	/**
	 * Records that another host has reported a runner process as leaving. Runners that
	 * are not registered receive no requests anyway, and are not reported on.
	 * @param runner the runner, not null
	 * @param startedMillis the start time of the process, in milliseconds since the epoch
	 * @param host the other host, not null
	 */
	public void markReportedLeaving(RunnerId runner, long startedMillis, HostId host) {
		if (this.directory.find(runner).isPresent()) {
			addLeaving(runner, startedMillis, host.value());
		}
	}

	private boolean addLeaving(RunnerId runner, long startedMillis, String source) {
		boolean added = this.leaving.add(runner, startedMillis, this.ticker.millis());
		if (added) {
			LOG.log(GatewayEvent.RUNNER_LEAVING, runner, startedMillis, source);
		}
		return added;
	}

	/**
	 * Sets the listener that is called when a runner has said that it is leaving.
	 * @param listener called on the event loop, not null
	 */
	public void onRunnerLeaving(Runnable listener) {
		this.leavingListener = listener;
	}

	/**
	 * Records the limit of requests that a response of a runner names.
	 * @param runner the runner, not null
	 * @param limit the requests per second, empty if it names none
	 */
	public void recordRequestLimit(RunnerEntry runner, OptionalDouble limit) {
		if (this.requestLimits.observe(runner.id(), runner.startedMillis(), limit, this.ticker.wallMillis(),
				this.ticker.millis())) {
			logRequestLimit(runner.id(), runner.startedMillis(), limit, "the runner");
			this.limitListener.accept(runner.id());
		}
	}

	/**
	 * Applies a limit of requests that another host observed.
	 * @param limit the limit, not null
	 * @param source the host or stream that told it, for the log; not null
	 */
	public void applyRequestLimit(RequestLimit limit, String source) {
		if (this.requestLimits.merge(limit, this.ticker.millis())) {
			logRequestLimit(limit.runner(), limit.startedMillis(), limit.requestsPerSecond(), source);
		}
	}

	/**
	 * Returns the limits of requests of the runners.
	 * @return the rate limiters, never null
	 */
	public RequestLimits getRequestLimits() {
		return this.requestLimits;
	}

	/**
	 * Sets the listener to changes of the limits that this host observes.
	 * @param listener called on the event loop after each change, not null
	 */
	public void onRequestLimitChanged(Consumer<RunnerId> listener) {
		this.limitListener = listener;
	}

	/**
	 * Returns the registered runner processes that have announced that they are leaving.
	 * @return the processes, never null
	 */
	public Collection<LeavingRunners.Departure> getLeaving() {
		return this.leaving.getDepartures()
			.stream()
			.filter((departure) -> this.directory.find(departure.runner()).isPresent())
			.toList();
	}

	/**
	 * Returns the speeds of the runners.
	 * @return the estimates, never null
	 */
	public RunnerSpeeds getSpeeds() {
		return this.speeds;
	}

	/**
	 * Records for how long a request occupied a slot.
	 * @param runner the runner, not null
	 * @param hold the duration, not null
	 */
	public void recordHoldTime(RunnerEntry runner, Duration hold) {
		serviceHoldTime(runner.service()).addSample(hold);
		runnerHoldTime(runner).addSample(hold);
	}

	/**
	 * Returns the runners of a service that accept requests.
	 * @param service the service, not null
	 * @param excluded the runners that the request was already sent to, not null
	 * @return the candidates, empty if there are none
	 */
	public List<Candidate> candidates(ServiceName service, Set<RunnerId> excluded) {
		Map<FailureDomain, Boolean> cached = new HashMap<>();
		Predicate<FailureDomain> suspected = (d) -> cached.computeIfAbsent(d, this.domainSuspected::test);
		List<Candidate> candidates = new ArrayList<>();
		for (RunnerEntry entry : this.directory.getEntries()) {
			if (entry.service().equals(service) && isAccepting(entry) && !excluded.contains(entry.id())) {
				candidates.add(candidate(entry, suspected));
			}
		}
		return candidates;
	}

	/**
	 * Returns a runner with its present load and health, as the input of a placement.
	 * @param runner the runner, not null
	 * @return the candidate, never null
	 */
	public Candidate candidate(RunnerEntry runner) {
		return candidate(runner, this.domainSuspected);
	}

	private Candidate candidate(RunnerEntry entry, Predicate<FailureDomain> suspected) {
		long now = this.ticker.millis();
		RunnerCapacity capacity = this.speeds.getCapacity(entry, now);
		return new Candidate(entry, this.loadTracker.getLoad(entry.id()), isAvoided(entry, suspected),
				entry.domain().equals(this.domain), runnerHoldTime(entry).getMean(),
				this.requestLimits.getAllowance(entry, now), capacity);
	}

	private boolean isAccepting(RunnerEntry entry) {
		return !entry.draining() && !this.leaving.contains(entry);
	}

	/**
	 * Removes expired registrations, load reports and connections, and the state of
	 * runners that are no longer registered.
	 */
	public void maintain() {
		long now = this.ticker.millis();
		this.directory.expire(now)
			.forEach((runner) -> LOG.log(GatewayEvent.RUNNER_REMOVED, runner, "not registered again"));
		observeVersions();
		this.loadTracker.expire(now);
		this.leaving.expire(now);
		if (this.memory.getTracker().expire(now)) {
			this.loadListener.run();
		}
		this.health.removeUnregistered(this.directory);
		this.requestLimits.removeUnregistered(this.directory, this.ticker.wallMillis());
		this.reportless.removeIf((process) -> this.directory.find(process.runner())
			.filter((entry) -> entry.getLifetime().equals(process))
			.isEmpty());
		this.pool.closeExpired(this.directory);
		this.prober.probe(this.domainSuspected);
		this.speeds.removeUnregistered(this.directory, now);
		this.runnerHoldTimes.keySet().removeIf((id) -> this.directory.find(id).isEmpty());
	}

	/**
	 * Returns the software version of a service if no runner has had another one for a
	 * time.
	 * @param service the service, not null
	 * @param period the time until now, not null
	 * @return the version, empty if there was another one or this host cannot know
	 */
	public Optional<SoftwareVersion> findOnlyVersion(ServiceName service, Duration period) {
		observeVersions();
		return this.versions.findOnlyVersion(service, period, this.ticker.millis());
	}

	private void observeVersions() {
		this.versions.observe(this.directory.getEntries(), this.directory.isStoreAvailable(), this.ticker.millis());
	}

	RunnerConnectionPool getPool() {
		return this.pool;
	}

	RunnerProtocol getProtocol() {
		return this.protocol;
	}

	// A host may use twice its equal share, since callers are distributed unevenly.
	int connectionLimit(RunnerEntry runner) {
		int total = (this.table != null)
				? this.table.getService(runner.service()).map(ServiceSpec::maxConnections).orElse(DEFAULT_CONNECTIONS)
				: DEFAULT_CONNECTIONS;
		return Math.max(MIN_CONNECTIONS, 2 * total / Math.max(1, this.liveHostCount.getAsInt()));
	}

	// The runners of a service differ in speed; a new runner starts from the mean of its
	// service.
	private HoldTimeEstimate runnerHoldTime(RunnerEntry runner) {
		return this.runnerHoldTimes.computeIfAbsent(runner.id(),
				(id) -> HoldTimeEstimate.copyOf(serviceHoldTime(runner.service())));
	}

	private HoldTimeEstimate serviceHoldTime(ServiceName service) {
		return this.serviceHoldTimes.computeIfAbsent(service, (s) -> HoldTimeEstimate.initial());
	}

	void recordSent(RunnerEntry runner) {
		this.requestLimits.recordSent(runner, this.ticker.millis());
	}

	// Returns the tokens that the request counts as.
	long chargeMemory(RunnerEntry runner, long statedTokens) {
		return this.memory.charge(runner, statedTokens);
	}

	void releaseMemory(RunnerId runner, long tokens, boolean complete) {
		this.memory.getTracker().remove(runner, tokens, complete, this.ticker.millis());
	}

	void adjustInProgress(RunnerId runner, boolean batch, int change) {
		this.loadTracker.add(runner, batch ? 0 : change, batch ? change : 0);
		this.loadListener.run();
	}

	private static void logRequestLimit(RunnerId runner, long startedMillis, OptionalDouble limit, String source) {
		LOG.log(GatewayEvent.RUNNER_LIMIT, runner, startedMillis, limit.isPresent() ? limit.getAsDouble() : null,
				source);
	}

}
