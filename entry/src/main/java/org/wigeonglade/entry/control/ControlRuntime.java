package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.config.AcceptedChange;
import org.wigeonglade.core.config.ConfigurationBody;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.DigestSource;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.peer.PeerDirectory;
import org.wigeonglade.core.peer.PeerExchange;
import org.wigeonglade.core.place.PlacementLease;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.peer.PeerIdentity;
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

	private ControlRuntime(Builder builder) {
		this.scheduler = (builder.loop != null) ? null : newScheduler(builder.identity.host().value());
		Executor loop = (builder.loop != null) ? builder.loop : this.scheduler;
		this.context = new ControlContext(Objects.requireNonNull(builder.identity, "identity"),
				Objects.requireNonNull(builder.peerAddress, "peerAddress"),
				Objects.requireNonNull(builder.options, "options"), builder.ticker,
				Objects.requireNonNull(builder.exchange, "exchange"),
				Objects.requireNonNull(builder.directory, "directory"),
				Objects.requireNonNull(builder.hostDirectory, "hostDirectory"),
				Objects.requireNonNull(builder.log, "log"), builder.account, loop);
		PlatformHealth health = new PlatformHealth(this.context);
		StreamAppender configAppender = new StreamAppender(this.context, health, ControlStreams.CONFIG);
		this.members = new MemberRuntime(this.context, health);
		this.configuration = new ConfigurationRuntime(this.context, health, builder.bodies, this.members);
		this.publisher = new ConfigurationPublisher(this.context, builder.bodies, this.configuration, configAppender);
		this.carrier = new ConfigurationCarrier(this.context, this.members, this.configuration, configAppender);
		this.configuration.addSliceListener(this.carrier::onSlice);
		this.stream = new ControlStream(this.context, health);
		this.placement = (builder.targets == null) ? null : new PlacementRuntime(this.context, this.members,
				this.configuration, this.stream, builder.targets, builder.lease);
	}

	/**
	 * Returns a builder.
	 * @return a builder with the system clocks
	 */
	public static Builder builder() {
		return new Builder();
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
		step("control stream", () -> this.stream.tick(this.context.options().logPoll().toMillis()
				* FollowerChoice.getPollFactor(this.context, this.members)));
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
		return Executors
			.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("control-" + host).daemon(true).factory());
	}

	/**
	 * Collects what the runtime needs.
	 */
	public static final class Builder {

		private PeerIdentity identity;

		private String peerAddress;

		private ControlOptions options;

		private Ticker ticker = Ticker.system();

		private PeerExchange exchange;

		private PeerDirectory directory;

		private HostDirectory hostDirectory;

		private LogService log;

		private AccountRecorder account;

		private ConfigurationBody bodies = SettingsReader.create()::readFleetConfiguration;

		private Executor loop;

		private PlacementTargets targets;

		private PlacementLease lease = PlacementLease.defaults();

		private Builder() {
		}

		/**
		 * Sets who this host is.
		 * @param value the identity, not null
		 * @param address the peer listener as other hosts reach it
		 * @return this builder
		 */
		public Builder identity(PeerIdentity value, String address) {
			this.identity = value;
			this.peerAddress = address;
			return this;
		}

		/**
		 * Sets the times and sizes.
		 * @param value the options, not null
		 * @return this builder
		 */
		public Builder options(ControlOptions value) {
			this.options = value;
			return this;
		}

		/**
		 * Sets the clocks.
		 * @param value the clocks, not null
		 * @return this builder
		 */
		public Builder ticker(Ticker value) {
			this.ticker = value;
			return this;
		}

		/**
		 * Sets the exchange with other hosts.
		 * @param value the exchange, not null
		 * @param addresses its addresses, usually the same object
		 * @return this builder
		 */
		public Builder exchange(PeerExchange value, PeerDirectory addresses) {
			this.exchange = value;
			this.directory = addresses;
			return this;
		}

		/**
		 * Sets the services of the platform.
		 * @param hosts the host list, not null
		 * @param streams the log service, not null
		 * @return this builder
		 */
		public Builder platform(HostDirectory hosts, LogService streams) {
			this.hostDirectory = hosts;
			this.log = streams;
			return this;
		}

		/**
		 * Sets the account.
		 * @param value the account, or null for none
		 * @return this builder
		 */
		public Builder account(AccountRecorder value) {
			this.account = value;
			return this;
		}

		/**
		 * Sets the reader of configuration bodies instead of the settings reader.
		 * @param value the reader, not null
		 * @return this builder
		 */
		public Builder bodies(ConfigurationBody value) {
			this.bodies = value;
			return this;
		}

		/**
		 * Turns placement on.
		 * @param value gives access to the runners; null turns placement off
		 * @param times the lease of a placement, not null
		 * @return this builder
		 */
		public Builder placement(PlacementTargets value, PlacementLease times) {
			this.targets = value;
			this.lease = times;
			return this;
		}

		/**
		 * Creates the runtime; {@link ControlRuntime#start()} starts it. Handlers of peer
		 * messages are registered at once.
		 * @return the runtime
		 */
		public ControlRuntime build() {
			return new ControlRuntime(this);
		}

		// Runs all state changes on another executor and leaves the ticks to the caller.
		Builder loop(Executor value) {
			this.loop = value;
			return this;
		}

	}

}
