package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.config.AcceptedChange;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.DigestSource;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.schema.generated.log.LogEntry;

/**
 * Control runtime of one host: membership, configuration and placement. All state changes
 * run on one control loop; the sources that it provides can be read from any thread
 * without blocking.
 */
public final class ControlRuntime implements AutoCloseable {

	private static final EventLogger logger = EventLogger.of(ControlRuntime.class);

	/** Number of loop iterations per shortest interval of the options. */
	private static final int TICKS_PER_INTERVAL = 5;

	private static final long MIN_TICK_MILLIS = 5;

	private static final long MAX_TICK_MILLIS = 100;

	private final ControlContext context;

	private final ScheduledExecutorService scheduler;

	private final MemberRuntime members;

	private final ConfigurationRuntime configuration;

	private final ConfigurationPublisher publisher;

	private final ConfigurationReappender reappender;

	private final ControlStream stream;

	private final PlacementRuntime placement;

	ControlRuntime(ControlRuntimeBuilder builder) {
		this.scheduler = (builder.getLoop() != null) ? null : newScheduler(builder.getIdentity().host().value());
		Executor loop = (builder.getLoop() != null) ? builder.getLoop() : this.scheduler;
		this.context = new ControlContext(Objects.requireNonNull(builder.getIdentity(), "identity"),
				Objects.requireNonNull(builder.getPeerAddress(), "peerAddress"),
				Objects.requireNonNull(builder.getOptions(), "options"), builder.getTicker(),
				Objects.requireNonNull(builder.getTransport(), "transport"),
				Objects.requireNonNull(builder.getPeerDirectory(), "directory"),
				Objects.requireNonNull(builder.getHostDirectory(), "hostDirectory"),
				Objects.requireNonNull(builder.getLog(), "log"), builder.getAccount(), loop);
		PlatformHealth health = new PlatformHealth(this.context);
		StreamAppender configAppender = new StreamAppender(this.context, health, ControlStreams.CONFIG);
		this.members = new MemberRuntime(this.context, health);
		this.configuration = new ConfigurationRuntime(this.context, health, builder.getBodyParser(), this.members);
		this.publisher = new ConfigurationPublisher(this.context, builder.getBodyParser(), this.configuration,
				configAppender);
		this.reappender = new ConfigurationReappender(this.context, this.members, this.configuration, configAppender);
		this.configuration.addSliceListener(this.reappender::onSlice);
		this.stream = new ControlStream(this.context, health);
		this.placement = (builder.getRunnerClient() == null) ? null : new PlacementRuntime(this.context, this.members,
				this.configuration, this.stream, builder.getRunnerClient(), builder.getLeaseTiming());
	}

	/**
	 * Returns a builder.
	 * @return a builder with the system clocks
	 */
	public static ControlRuntimeBuilder builder() {
		return new ControlRuntimeBuilder();
	}

	/**
	 * Starts the control loop.
	 */
	public void start() {
		logger.log(ControlEvent.STARTED, this.context.identity().host(), this.context.identity().incarnation());
		if (this.scheduler != null) {
			long tick = getTickMillis();
			this.scheduler.scheduleWithFixedDelay(this::tick, 0, tick, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Returns the snapshots of the fleet.
	 * @return the source, never null
	 */
	public FleetViewSource getFleetViewSource() {
		return this.members::getView;
	}

	/**
	 * Returns the snapshots of the load that other hosts report in their digests.
	 * @return the source, never null
	 */
	public FleetLoadSource getFleetLoadSource() {
		return this.members::getLoad;
	}

	/**
	 * Returns the configuration in force.
	 * @return the source, never null
	 */
	public ConfigurationSource getConfigurationSource() {
		return this.configuration::getCurrent;
	}

	/**
	 * Returns whether this host has determined the current configuration. Until then it
	 * must not serve, since its version could be older than before its restart.
	 * @return true once the log was read to its head or enough peers have responded
	 */
	public boolean isReady() {
		return this.configuration.isReady();
	}

	/**
	 * Registers a component that contributes to the digests of this host.
	 * @param source the source, not null
	 */
	public void addDigestSource(DigestSource source) {
		this.members.addSource(source);
	}

	/**
	 * Registers a listener that is called for each configuration that is applied.
	 * @param listener the listener, called on the control loop and not allowed to block
	 */
	public void addConfigurationListener(Consumer<VersionedConfiguration> listener) {
		this.configuration.addListener(listener);
	}

	/**
	 * Registers a listener that is called for each entry of the control stream in order,
	 * such as quarantine and durable account events.
	 * @param listener the listener, called on the control loop and not allowed to block
	 */
	public void addControlListener(Consumer<LogEntry> listener) {
		this.stream.addListener(listener);
	}

	/**
	 * Appends entries to the control stream.
	 * @param entries the entries, not null
	 * @return the offset; fails if the log service does
	 */
	public Uni<Long> appendControl(List<LogEntry> entries) {
		return this.stream.append(this.stream.newRecord(entries));
	}

	/**
	 * Marks an upstream as leaving and broadcasts this to all reachable hosts.
	 * @param upstream the upstream, not null
	 * @param incarnation the incarnation that leaves; 0 means the current one
	 * @param source the origin of the information, for the log
	 */
	public void reportLeaving(UpstreamId upstream, long incarnation, String source) {
		this.context.loop().execute(() -> this.members.reportLeaving(upstream, incarnation, source));
	}

	/**
	 * Announces a planned stop to all hosts and releases the placements. This host stays
	 * a member until the runtime is closed.
	 */
	public void announceStop() {
		this.context.loop().execute(() -> {
			this.members.announceStop();
			if (this.placement != null) {
				this.placement.release();
			}
		});
	}

	/**
	 * Publishes a configuration.
	 * @param draft the change, not null
	 * @return the accepted change; fails with code
	 * {@link org.wigeonglade.core.error.ErrorCode#CONFIG_INVALID} or
	 * {@link org.wigeonglade.core.error.ErrorCode#CONFIG_CONFLICT}, or with the failure
	 * of the platform, whose code indicates whether the change may still be accepted
	 */
	public Uni<AcceptedChange> publish(ConfigurationDraft draft) {
		return this.publisher.publish(draft);
	}

	/**
	 * Publishes the body of an earlier version as a new version.
	 * @param baseVersion the current version from the operator's point of view
	 * @param toVersion the version whose body is restored
	 * @param author the operator who publishes the change
	 * @param reason the reason for the rollback
	 * @return the accepted change; fails like {@link #publish(ConfigurationDraft)}
	 */
	public Uni<AcceptedChange> rollback(long baseVersion, long toVersion, String author, String reason) {
		return this.publisher.rollback(baseVersion, toVersion, author, reason);
	}

	/**
	 * Returns the accepted versions that this host has read from the log.
	 * @return the versions without bodies, oldest first
	 */
	public List<AcceptedChange> getHistory() {
		return this.configuration.getReplay().getHistory();
	}

	/**
	 * Reads the body of a version.
	 * @param version the version, at least 1
	 * @return the body as JSON; fails if the version is unknown or no longer retained
	 */
	public Uni<byte[]> readBody(long version) {
		return this.publisher.readBody(version);
	}

	/**
	 * Returns which hosts have applied the configuration.
	 * @return the status as this host sees it
	 */
	public ConfigurationStatus getConfigurationStatus() {
		return this.configuration.getStatus();
	}

	/**
	 * Stops the control loop without notifying other hosts.
	 */
	@Override
	public void close() {
		if (this.scheduler != null) {
			this.scheduler.shutdownNow();
		}
	}

	// Runs one iteration of the control loop. Tests with a loop of their own call it.
	void tick() {
		runStep("members", this.members::tick);
		runStep("configuration", this.configuration::tick);
		runStep("carrier", this.reappender::tick);
		long poll = this.context.options().logPoll().toMillis();
		runStep("control stream", () -> this.stream
			.tick(() -> poll * LogPollerSelector.getPollIntervalFactor(this.context, this.members)));
		if (this.placement != null) {
			runStep("placement", this.placement::tick);
		}
	}

	private static void runStep(String name, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			// The loop must not end; the step is run again in the next iteration.
			logger.log(ControlEvent.STEP_FAILED, ex, name);
		}
	}

	private long getTickMillis() {
		ControlOptions options = this.context.options();
		Duration shortest = List.of(options.digestInterval(), options.logPoll(), options.hostListPoll())
			.stream()
			.min(Duration::compareTo)
			.orElseThrow();
		return Math.clamp(shortest.toMillis() / TICKS_PER_INTERVAL, MIN_TICK_MILLIS, MAX_TICK_MILLIS);
	}

	private static ScheduledExecutorService newScheduler(String host) {
		// Responses that arrive after the stop are discarded, since the state of a
		// stopped host must not change.
		return new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().name("control-" + host).daemon(true).factory(),
				new ThreadPoolExecutor.DiscardPolicy());
	}

}
