package org.wigeonglade.entry.host;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Function;

import io.vertx.core.Vertx;
import org.wigeonglade.adapters.hosts.HttpHostDirectory;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.log.HttpLogService;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.online.EndpointPolicy;
import org.wigeonglade.entry.online.UpstreamClientFactory;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Builder of an {@link EntryHost}. Services that are not set are created from the
 * settings.
 */
public final class EntryHostBuilder {

	private static final int DEFAULT_EVENT_LOOPS = 2;

	private final HostSettings settings;

	private Ticker ticker = Ticker.system();

	private int eventLoops = DEFAULT_EVENT_LOOPS;

	private VersionedConfiguration initialConfiguration = new VersionedConfiguration(0, new FleetConfiguration());

	private FleetViewSource fleet;

	private Function<Vertx, HostDirectory> directoryFactory = this::createHttpDirectory;

	private Function<Vertx, LogService> logFactory = this::createHttpLogService;

	private Function<HostComponents, BatchRuntime> batchFactory = EntryHostBuilder::createLogBackedBatchRuntime;

	private Function<Vertx, UpstreamClientFactory> clientFactory = HttpUpstreamClientFactory::new;

	private EndpointPolicy policy = EndpointSelector::choose;

	EntryHostBuilder(HostSettings settings) {
		this.settings = settings;
	}

	/**
	 * Sets the configuration that applies until one is published.
	 * @param configuration the configuration, not null
	 * @return this builder
	 */
	public EntryHostBuilder withInitialConfiguration(FleetConfiguration configuration) {
		this.initialConfiguration = new VersionedConfiguration(0,
				Objects.requireNonNull(configuration, "configuration"));
		return this;
	}

	/**
	 * Sets the clocks; the default is the system clocks.
	 * @param ticker the monotonic clock and the wall clock, not null
	 * @return this builder
	 */
	public EntryHostBuilder withTicker(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		return this;
	}

	/**
	 * Sets the number of Vert.x event loop threads.
	 * @param eventLoops a count; less than 1 means 1
	 * @return this builder
	 */
	public EntryHostBuilder withEventLoops(int eventLoops) {
		this.eventLoops = Math.max(1, eventLoops);
		return this;
	}

	/**
	 * Sets the source of the fleet view and makes the host standalone: it uses no
	 * platform, has no peers and runs no batch work.
	 * @param fleet the source, not null
	 * @return this builder
	 */
	public EntryHostBuilder withFleet(FleetViewSource fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		return this;
	}

	/**
	 * Sets the client of the host list.
	 * @param directory creates the client, not null
	 * @return this builder
	 */
	public EntryHostBuilder withHostDirectory(Function<Vertx, HostDirectory> directory) {
		this.directoryFactory = Objects.requireNonNull(directory, "directory");
		return this;
	}

	/**
	 * Sets the client of the log service.
	 * @param log creates the client, not null
	 * @return this builder
	 */
	public EntryHostBuilder withLog(Function<Vertx, LogService> log) {
		this.logFactory = Objects.requireNonNull(log, "log");
		return this;
	}

	/**
	 * Sets the batch runtime.
	 * @param batch creates the runtime, or returns null to disable batch work
	 * @return this builder
	 */
	public EntryHostBuilder withBatch(Function<HostComponents, BatchRuntime> batch) {
		this.batchFactory = Objects.requireNonNull(batch, "batch");
		return this;
	}

	/**
	 * Sets the factory of upstream clients.
	 * @param clients creates the factory, not null
	 * @return this builder
	 */
	public EntryHostBuilder withClients(Function<Vertx, UpstreamClientFactory> clients) {
		this.clientFactory = Objects.requireNonNull(clients, "clients");
		return this;
	}

	/**
	 * Sets the policy that selects the runner of an online request.
	 * @param policy the policy, not null
	 * @return this builder
	 */
	public EntryHostBuilder withPolicy(EndpointPolicy policy) {
		this.policy = Objects.requireNonNull(policy, "policy");
		return this;
	}

	/**
	 * Creates the host without starting it.
	 * @return a host, never null
	 */
	public EntryHost build() {
		return new EntryHost(this);
	}

	HostSettings getSettings() {
		return this.settings;
	}

	EndpointPolicy getPolicy() {
		return this.policy;
	}

	Ticker getTicker() {
		return this.ticker;
	}

	int getEventLoops() {
		return this.eventLoops;
	}

	VersionedConfiguration getInitialConfiguration() {
		return this.initialConfiguration;
	}

	FleetViewSource getFleet() {
		return this.fleet;
	}

	HostDirectory createHostDirectory(Vertx vertx) {
		return this.directoryFactory.apply(vertx);
	}

	LogService createLogService(Vertx vertx) {
		return this.logFactory.apply(vertx);
	}

	BatchRuntime createBatchRuntime(HostComponents components) {
		return this.batchFactory.apply(components);
	}

	UpstreamClientFactory createUpstreamClientFactory(Vertx vertx) {
		return this.clientFactory.apply(vertx);
	}

	private static BatchRuntime createLogBackedBatchRuntime(HostComponents components) {
		return BatchRuntime.builder(components.settings())
			.withIncarnation(components.identity().incarnation())
			.withLog(components.log())
			.withPeers(components.transport())
			.withFleet(components.fleet())
			.withConfiguration(components.configuration())
			.withAccount(components.account())
			.withTicker(components.ticker())
			.build();
	}

	private HostDirectory createHttpDirectory(Vertx vertx) {
		return HttpHostDirectory.of(vertx, HttpClients.create(vertx, timeout()),
				this.settings.getPlatform().getHostListUrl(), timeout());
	}

	private LogService createHttpLogService(Vertx vertx) {
		return HttpLogService.of(vertx, HttpClients.create(vertx, timeout()), this.settings.getPlatform().getLogUrl(),
				timeout());
	}

	private Duration timeout() {
		return Duration.ofMillis(this.settings.getPlatform().getTimeoutMs());
	}

}
