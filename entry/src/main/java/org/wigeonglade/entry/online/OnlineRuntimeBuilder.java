package org.wigeonglade.entry.online;

import java.util.Objects;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.member.FleetLoad;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.time.Ticker;

/**
 * Builder of the online path of a host.
 */
public final class OnlineRuntimeBuilder {

	private final EventLoop loop;

	private final HostId self;

	private FailureDomain domain;

	private Region region;

	private Ticker ticker = Ticker.system();

	private FleetViewSource fleet = () -> FleetView.EMPTY;

	private UpstreamClientFactory clients;

	private PeerTransport peers;

	private FleetLoadSource load = () -> FleetLoad.EMPTY;

	private QuarantineRecorder recorder = (added) -> Uni.createFrom().voidItem();

	private AccountRecorder account = (code, subjectKind, subjectId, causeEventId, figures) -> "";

	private EndpointPolicy policy = EndpointSelector::choose;

	private long seed;

	/**
	 * Creates a builder with defaults for all optional components.
	 * @param loop the event loop of the online path, not null
	 * @param self the name of this host, not null
	 */
	public OnlineRuntimeBuilder(EventLoop loop, HostId self) {
		this.loop = Objects.requireNonNull(loop, "loop");
		this.self = Objects.requireNonNull(self, "self");
		this.seed = self.value().hashCode();
	}

	/**
	 * Sets the location of this host. Required.
	 * @param domain the failure domain, not null
	 * @param region the region, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withLocation(FailureDomain domain, Region region) {
		this.domain = Objects.requireNonNull(domain, "domain");
		this.region = Objects.requireNonNull(region, "region");
		return this;
	}

	/**
	 * Sets the clocks; the default is the system clocks.
	 * @param ticker the wall and monotonic clocks, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withTicker(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		return this;
	}

	/**
	 * Sets the source of the fleet view; the default is an empty fleet.
	 * @param fleet the source, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withFleet(FleetViewSource fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		return this;
	}

	/**
	 * Sets the factory of upstream clients. Required.
	 * @param clients the factory, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withClients(UpstreamClientFactory clients) {
		this.clients = Objects.requireNonNull(clients, "clients");
		return this;
	}

	/**
	 * Sets the message transport between hosts.
	 * @param peers the transport, or null for a host without peers
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withPeers(PeerTransport peers) {
		this.peers = peers;
		return this;
	}

	/**
	 * Sets the source of the load that other hosts report; the default is no load.
	 * @param load the source, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withLoad(FleetLoadSource load) {
		this.load = Objects.requireNonNull(load, "load");
		return this;
	}

	/**
	 * Sets the recorder of quarantines; the default records nothing.
	 * @param recorder writes quarantines to the control stream, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withQuarantineRecorder(QuarantineRecorder recorder) {
		this.recorder = Objects.requireNonNull(recorder, "recorder");
		return this;
	}

	/**
	 * Sets the recorder of request and item events; the default records nothing.
	 * @param account the recorder, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withAccount(AccountRecorder account) {
		this.account = Objects.requireNonNull(account, "account");
		return this;
	}

	/**
	 * Sets the policy that chooses the runner of a request.
	 * @param policy the policy, not null
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withPolicy(EndpointPolicy policy) {
		this.policy = Objects.requireNonNull(policy, "policy");
		return this;
	}

	/**
	 * Sets the seed of random choices; the default is derived from the host name.
	 * @param seed the seed, any value
	 * @return this builder
	 */
	public OnlineRuntimeBuilder withSeed(long seed) {
		this.seed = seed;
		return this;
	}

	/**
	 * Creates the online path without starting it.
	 * @return a runtime, never null
	 */
	public OnlineRuntime build() {
		return new OnlineRuntime(this);
	}

	EventLoop getLoop() {
		return this.loop;
	}

	HostId getSelf() {
		return this.self;
	}

	FailureDomain getDomain() {
		return this.domain;
	}

	Region getRegion() {
		return this.region;
	}

	Ticker getTicker() {
		return this.ticker;
	}

	FleetViewSource getFleet() {
		return this.fleet;
	}

	UpstreamClientFactory getClients() {
		return this.clients;
	}

	PeerTransport getPeers() {
		return this.peers;
	}

	FleetLoadSource getLoad() {
		return this.load;
	}

	QuarantineRecorder getRecorder() {
		return this.recorder;
	}

	AccountRecorder getAccount() {
		return this.account;
	}

	EndpointPolicy getPolicy() {
		return this.policy;
	}

	long getSeed() {
		return this.seed;
	}

}
