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
import org.wigeonglade.entry.online.UpstreamClients;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Describes an entry host. What is not set takes the implementation that the settings
 * name.
 */
public final class EntryHostBuilder {

	private static final int DEFAULT_EVENT_LOOPS = 2;

	private final HostSettings settings;

	private Ticker ticker = Ticker.system();

	private int eventLoops = DEFAULT_EVENT_LOOPS;

	private VersionedConfiguration initialConfiguration = new VersionedConfiguration(0, new FleetConfiguration());

	private FleetViewSource fleet;

	private Function<Vertx, HostDirectory> directory = this::httpDirectory;

	private Function<Vertx, LogService> log = this::httpLog;

	private Function<HostParts, BatchRuntime> batch = EntryHostBuilder::logBatch;

	private Function<Vertx, UpstreamClients> clients = HttpUpstreamClients::new;

	private EndpointPolicy policy = EndpointSelector::choose;

	EntryHostBuilder(HostSettings settings) {
		this.settings = settings;
	}

	/**
	 * Sets the configuration in force until one is published.
	 * @param configuration the configuration, not null
	 * @return this builder
	 */
	public EntryHostBuilder withInitialConfiguration(FleetConfiguration configuration) {
		this.initialConfiguration = new VersionedConfiguration(0,
				Objects.requireNonNull(configuration, "configuration"));
		return this;
	}

	/**
	 * Sets the clocks.
	 * @param ticker the clocks, not null
	 * @return this builder
	 */
	public EntryHostBuilder withTicker(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		return this;
	}

	/**
	 * Sets the number of event loops.
	 * @param eventLoops a count, at least 1
	 * @return this builder
	 */
	public EntryHostBuilder withEventLoops(int eventLoops) {
		this.eventLoops = Math.max(1, eventLoops);
		return this;
	}

	/**
	 * Sets the source of the fleet view. The host then stands alone: it has no platform,
	 * no other hosts and no batch work.
	 * @param fleet the source, not null
	 * @return this builder
	 */
	public EntryHostBuilder withFleet(FleetViewSource fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		return this;
	}

	/**
	 * Sets the host list.
	 * @param directory creates the client, not null
	 * @return this builder
	 */
	public EntryHostBuilder withDirectory(Function<Vertx, HostDirectory> directory) {
		this.directory = Objects.requireNonNull(directory, "directory");
		return this;
	}

	/**
	 * Sets the log service.
	 * @param log creates the client, not null
	 * @return this builder
	 */
	public EntryHostBuilder withLog(Function<Vertx, LogService> log) {
		this.log = Objects.requireNonNull(log, "log");
		return this;
	}

	/**
	 * Sets the batch runtime.
	 * @param batch creates the runtime, not null
	 * @return this builder
	 */
	public EntryHostBuilder withBatch(Function<HostParts, BatchRuntime> batch) {
		this.batch = Objects.requireNonNull(batch, "batch");
		return this;
	}

	/**
	 * Sets the clients of upstreams.
	 * @param clients creates the clients, not null
	 * @return this builder
	 */
	public EntryHostBuilder withClients(Function<Vertx, UpstreamClients> clients) {
		this.clients = Objects.requireNonNull(clients, "clients");
		return this;
	}

	/**
	 * Sets the policy that selects a runner for an online request.
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

	HostDirectory directory(Vertx vertx) {
		return this.directory.apply(vertx);
	}

	LogService log(Vertx vertx) {
		return this.log.apply(vertx);
	}

	BatchRuntime batch(HostParts parts) {
		return this.batch.apply(parts);
	}

	UpstreamClients clients(Vertx vertx) {
		return this.clients.apply(vertx);
	}

	private static BatchRuntime logBatch(HostParts parts) {
		return BatchRuntime.builder(parts.settings())
			.withIncarnation(parts.identity().incarnation())
			.withLog(parts.log())
			.withPeers(parts.peers())
			.withFleet(parts.fleet())
			.withConfiguration(parts.configuration())
			.withAccount(parts.account())
			.withTicker(parts.ticker())
			.build();
	}

	private HostDirectory httpDirectory(Vertx vertx) {
		return HttpHostDirectory.of(vertx, HttpClients.create(vertx, timeout()),
				this.settings.getPlatform().getHostListUrl(), timeout());
	}

	private LogService httpLog(Vertx vertx) {
		return HttpLogService.of(vertx, HttpClients.create(vertx, timeout()), this.settings.getPlatform().getLogUrl(),
				timeout());
	}

	private Duration timeout() {
		return Duration.ofMillis(this.settings.getPlatform().getTimeoutMs());
	}

}
