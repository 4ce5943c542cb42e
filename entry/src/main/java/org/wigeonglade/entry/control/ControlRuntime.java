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
 * Runs membership and configuration of one host. The sources that it gives can be read
 * from any thread without blocking.
 */
public final class ControlRuntime implements AutoCloseable {

	private static final EventLogger logger = EventLogger.of(ControlRuntime.class);

	/** The loop runs this many times in the shortest interval of the options. */
	private static final int TICKS_PER_INTERVAL = 5;

	private static final long MIN_TICK_MILLIS = 5;

	private static final long MAX_TICK_MILLIS = 100;

	private final ControlContext context;

	private final ScheduledExecutorService scheduler;

	private final MemberRuntime members;

	private final ConfigurationRuntime configuration;

	private final ConfigurationPublisher publisher;

	private final ConfigurationCarrier carrier;

	private final ControlStream stream;

	private final PlacementRuntime placement;

	ControlRuntime(ControlRuntimeBuilder builder) {
		this.scheduler = (builder.getLoop() != null) ? null : newScheduler(builder.getIdentity().host().value());
		Executor loop = (builder.getLoop() != null) ? builder.getLoop() : this.scheduler;
		this.context = new ControlContext(Objects.requireNonNull(builder.getIdentity(), "identity"),
				Objects.requireNonNull(builder.getPeerAddress(), "peerAddress"),
				Objects.requireNonNull(builder.getOptions(), "options"), builder.getTicker(),
				Objects.requireNonNull(builder.getTransport(), "transport"),
				Objects.requireNonNull(builder.getDirectory(), "directory"),
				Objects.requireNonNull(builder.getHostDirectory(), "hostDirectory"),
				Objects.requireNonNull(builder.getLog(), "log"), builder.getAccount(), loop);
		PlatformHealth health = new PlatformHealth(this.context);
		StreamAppender configAppender = new StreamAppender(this.context, health, ControlStreams.CONFIG);
		this.members = new MemberRuntime(this.context, health);
		this.configuration = new ConfigurationRuntime(this.context, health, builder.getBodies(), this.members);
		this.publisher = new ConfigurationPublisher(this.context, builder.getBodies(), this.configuration,
				configAppender);
		this.carrier = new ConfigurationCarrier(this.context, this.members, this.configuration, configAppender);
		this.configuration.addSliceListener(this.carrier::onSlice);
		this.stream = new ControlStream(this.context, health);
		this.placement = (builder.getTargets() == null) ? null : new PlacementRuntime(this.context, this.members,
				this.configuration, this.stream, builder.getTargets(), builder.getLeaseTiming());
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
	 * Returns the snapshots of the load that other hosts told.
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
	 * Returns whether this host knows the configuration. Until then it must not serve,
	 * since it could serve an older version than before its restart.
	 * @return true once the log was read to its head or enough peers answered
	 */
	public boolean isReady() {
		return this.configuration.isReady();
	}

	/**
	 * Registers a part of the host that adds to digests.
	 * @param source the source, not null
	 */
	public void addDigestSource(DigestSource source) {
		this.members.addSource(source);
	}

	/**
	 * Registers a listener that is told of each configuration that comes into force.
	 * @param listener the listener, called on the control loop and not allowed to block
	 */
	public void addConfigurationListener(Consumer<VersionedConfiguration> listener) {
		this.configuration.addListener(listener);
	}

	/**
	 * Registers a listener that is told of each entry of the control stream in order,
	 * such as quarantine and durable events of the account.
	 * @param listener the listener, called on the control loop and not allowed to block
	 */
	public void addControlListener(Consumer<LogEntry> listener) {
		this.stream.addListener(listener);
	}

	/**
	 * Appends entries to the control stream.
	 * @param entries the entries, not null
	 * @return the offset; fails with the failure of the platform
	 */
	public Uni<Long> appendControl(List<LogEntry> entries) {
		return this.stream.append(this.stream.next(entries));
	}

	/**
	 * Marks an upstream as leaving here and on every host that can be reached.
	 * @param upstream the upstream, not null
	 * @param incarnation the incarnation that leaves; 0 means the known one
	 * @param source what told so, for the log
	 */
	public void reportLeaving(UpstreamId upstream, long incarnation, String source) {
		this.context.loop().execute(() -> this.members.reportLeaving(upstream, incarnation, source));
	}

	/**
	 * Tells all hosts that this one stops. It stays a member until it closes.
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
	 * of the platform, which tells whether the change may still be accepted
	 */
	public Uni<AcceptedChange> publish(ConfigurationDraft draft) {
		return this.publisher.publish(draft);
	}

	/**
	 * Publishes the body of an earlier version as a new version.
	 * @param baseVersion the version that the operator saw in force
	 * @param toVersion the version whose body is wanted
	 * @param author who publishes it
	 * @param reason why
	 * @return the accepted change; fails like {@link #publish(ConfigurationDraft)}
	 */
	public Uni<AcceptedChange> rollback(long baseVersion, long toVersion, String author, String reason) {
		return this.publisher.rollback(baseVersion, toVersion, author, reason);
	}

	/**
	 * Returns the accepted versions that are known here.
	 * @return the versions, oldest first, without bodies
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
	 * Tells where the configuration is in force.
	 * @return the status as this host sees it
	 */
	public ConfigurationStatus getConfigurationStatus() {
		return this.configuration.getStatus();
	}

	/**
	 * Ends the control loop without any notice to other hosts.
	 */
	@Override
	public void close() {
		if (this.scheduler != null) {
			this.scheduler.shutdownNow();
		}
	}

	// Runs one round of the control loop; tests call it themselves.
	void tick() {
		step("members", this.members::tick);
		step("configuration", this.configuration::tick);
		step("carrier", this.carrier::tick);
		long poll = this.context.options().logPoll().toMillis();
		step("control stream",
				() -> this.stream.tick(() -> poll * FollowerChoice.getPollFactor(this.context, this.members)));
		if (this.placement != null) {
			step("placement", this.placement::tick);
		}
	}

	private static void step(String name, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			// The loop must go on; a step that failed is run again in the next round.
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
		// Answers that arrive after the stop are dropped, since nothing may change the
		// state of a stopped host.
		return new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().name("control-" + host).daemon(true).factory(),
				new ThreadPoolExecutor.DiscardPolicy());
	}

}
