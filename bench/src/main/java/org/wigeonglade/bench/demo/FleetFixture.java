package org.wigeonglade.bench.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.PlatformSettings;
import org.wigeonglade.standins.StandInServer;
import org.wigeonglade.standins.engine.EngineSettings;
import org.wigeonglade.standins.engine.EngineStandIn;
import org.wigeonglade.standins.log.LogStandIn;
import org.wigeonglade.standins.net.NetworkLink;
import org.wigeonglade.standins.service.ServiceStandIn;

/**
 * Runs a whole fleet in one process over loopback sockets: the platform's stand-ins,
 * engines, plain services and entry hosts, with latency between failure domains and to
 * clients.
 */
public final class FleetFixture implements AutoCloseable {

	private static final int EVENT_LOOPS = 4;

	private static final Duration READY_LIMIT = Duration.ofSeconds(15);

	private static final long READY_POLL_NANOS = 5_000_000;

	private final Deployment deployment;

	private final FleetOptions options;

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));

	private final LogStandIn log;

	private final DomainNetwork network;

	private final FleetConfiguration configuration;

	private final List<EngineStandIn> engines = new ArrayList<>();

	private final List<ServiceStandIn> services = new ArrayList<>();

	private final List<FleetMember> members = new CopyOnWriteArrayList<>();

	private int startedHosts;

	FleetFixture(FleetOptions options) {
		this.options = options;
		this.deployment = options.deployment;
		this.log = LogStandIn.builder().vertx(this.vertx).appendsPerSecond(options.logAppendsPerSecond).start();
		this.network = new DomainNetwork(this.vertx, this.deployment, options.hostListLagMillis);
		this.configuration = FleetConfigurations.of(this.deployment, options.models, options.appendBudget);
	}

	/**
	 * Returns a builder.
	 * @param deployment the size and network, not null
	 * @return a builder, never null
	 */
	public static FleetOptions builder(Deployment deployment) {
		return new FleetOptions(deployment);
	}

	/**
	 * Returns the size and network.
	 * @return the deployment, never null
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the event loops of stand-ins and clients.
	 * @return the event loops, never null
	 */
	public Vertx vertx() {
		return this.vertx;
	}

	/**
	 * Returns the log service.
	 * @return the stand-in, never null
	 */
	public LogStandIn log() {
		return this.log;
	}

	/**
	 * Returns the runners.
	 * @return the stand-ins in order of their numbers
	 */
	public List<EngineStandIn> engines() {
		return List.copyOf(this.engines);
	}

	/**
	 * Returns the upstreams of the plain service.
	 * @return the stand-ins in order of their numbers
	 */
	public List<ServiceStandIn> services() {
		return List.copyOf(this.services);
	}

	/**
	 * Returns all hosts ever started, also those that are down.
	 * @return the hosts in order of their start
	 */
	public List<FleetMember> members() {
		return List.copyOf(this.members);
	}

	/**
	 * Returns the hosts that a load balancer would use.
	 * @return the hosts that are up
	 */
	public List<FleetMember> liveMembers() {
		return this.members.stream().filter(FleetMember::isUp).toList();
	}

	/**
	 * Returns the configuration that was published as version 1.
	 * @return the configuration, never null
	 */
	public FleetConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Starts one more entry host.
	 * @return the host, never null
	 */
	public FleetMember addHost() {
		int number = this.startedHosts++;
		String name = "entry-" + number;
		String domain = this.deployment.domainOf(number);
		FleetHost host = this.options.starter.start(settings(name, domain), this.configuration);
		NetworkLink link = this.network.clientLink(host.callerPort());
		FleetMember member = new FleetMember(name, domain, host, link);
		this.members.add(member);
		this.network.put(
				new ListedHost(name, HostRole.ENTRY, "", domain, this.deployment.region(), "", List.of(), 1, false),
				host.peerPort());
		return member;
	}

	/**
	 * Drops a host without any handover; the host list forgets it after its lag.
	 * @param member the host, not null
	 */
	public void killHost(FleetMember member) {
		member.setDown();
		member.host().kill();
		member.clientLink().reset();
		this.network.remove(member.name());
	}

	/**
	 * Stops a host as planned.
	 * @param member the host, not null
	 */
	public void stopHost(FleetMember member) {
		this.network.leave(member.name());
		member.host().stop();
		member.setDown();
		this.network.remove(member.name());
	}

	/**
	 * Drops a runner; the host list forgets it after its lag.
	 * @param index the number of the runner
	 */
	public void killEngine(int index) {
		this.engines.get(index).kill();
		this.network.remove(engineName(index));
	}

	/**
	 * Starts a runner again under a new incarnation.
	 * @param index the number of the runner
	 */
	public void restartEngine(int index) {
		this.engines.get(index).restart();
		listEngine(index);
	}

	/**
	 * Marks a runner as leaving in the host list.
	 * @param index the number of the runner
	 */
	public void leaveEngine(int index) {
		this.network.leave(engineName(index));
	}

	/**
	 * Cuts or heals all links between two domains.
	 * @param one a domain, not null
	 * @param other another domain, not null
	 * @param cutFromOne whether bytes from {@code one} are held
	 * @param cutFromOther whether bytes from {@code other} are held
	 */
	public void cutDomains(String one, String other, boolean cutFromOne, boolean cutFromOther) {
		this.network.cut(one, other, cutFromOne, cutFromOther);
		this.network.cut(other, one, cutFromOther, cutFromOne);
	}

	/**
	 * Cuts or heals the links of a domain to the platform.
	 * @param domain the domain, not null
	 * @param cut whether bytes are held in both directions
	 */
	public void cutPlatform(String domain, boolean cut) {
		this.network.cutPlatform(domain, cut);
	}

	/**
	 * Returns the name of a runner in the host list.
	 * @param index the number of the runner
	 * @return the name
	 */
	public String engineName(int index) {
		return "runner-" + index;
	}

	@Override
	public void close() {
		this.members.stream().filter(FleetMember::isUp).forEach((member) -> member.host().kill());
		this.members.forEach((member) -> member.clientLink().stop());
		this.engines.forEach(EngineStandIn::stop);
		this.services.forEach(ServiceStandIn::stop);
		this.network.stop();
		this.log.stop();
		StandInServer.await(this.vertx.close());
	}

	FleetFixture start() {
		publishConfiguration();
		for (int i = 0; i < this.deployment.runners(); i++) {
			EngineSettings settings = EngineStandIn.builder().vertx(this.vertx);
			this.engines.add(this.options.engine.apply(settings).start());
			listEngine(i);
		}
		for (int i = 0; i < this.deployment.plainUpstreams(); i++) {
			ServiceStandIn service = ServiceStandIn.start(this.vertx);
			this.services.add(service);
			this.network.put(
					new ListedHost("service-" + i, HostRole.SERVICE, "", this.deployment.domainOf(i),
							this.deployment.region(), this.deployment.plainService(), List.of(), 1, false),
					service.port());
		}
		for (int i = 0; i < this.deployment.hosts(); i++) {
			addHost();
		}
		awaitReady();
		return this;
	}

	private void awaitReady() {
		long end = System.nanoTime() + READY_LIMIT.toNanos();
		for (FleetMember member : this.members) {
			while (!member.host().isReady() && System.nanoTime() - end < 0) {
				LockSupport.parkNanos(READY_POLL_NANOS);
			}
			if (!member.host().isReady()) {
				throw new IllegalStateException(member.name() + " did not become ready");
			}
		}
	}

	private void listEngine(int index) {
		EngineStandIn engine = this.engines.get(index);
		this.network.put(new ListedHost(engineName(index), HostRole.RUNNER, "", this.deployment.domainOf(index),
				this.deployment.region(), this.deployment.modelService(), this.options.models, engine.incarnation(),
				false), engine.port());
	}

	private void publishConfiguration() {
		byte[] body = SettingsReader.create().write(this.configuration);
		SettingsReader.create().readFleetConfiguration(body);
		ConfigChange change = ConfigChange.newBuilder()
			.setVersion(1)
			.setAuthor("fixture")
			.setReason("first configuration")
			.setWallTimeMs(System.currentTimeMillis())
			.setBody(ByteString.copyFrom(body))
			.build();
		LogRecord record = LogRecord.newBuilder()
			.setHost("fixture")
			.setIncarnation(1)
			.setSequence(1)
			.addEntries(LogEntry.newBuilder().setConfigChange(change))
			.build();
		this.log.appendDirectly("config", record.toByteArray());
	}

	private HostSettings settings(String name, String domain) {
		return new HostSettings().withHost(name)
			.withFailureDomain(domain)
			.withRegion(this.deployment.region())
			.withCallerAddress("127.0.0.1:0")
			.withOperatorAddress("127.0.0.1:0")
			.withPeerAddress("127.0.0.1:0")
			.withPeerSeeds(List.of())
			.withPlatform(new PlatformSettings().withLogUrl(this.network.platformUrl(domain, this.log.port()))
				.withHostListUrl(this.network.platformUrl(domain, this.network.listOf(domain).port()))
				.withTimeoutMs(this.options.platformTimeoutMillis))
			.withTiming(this.options.timing);
	}

}
