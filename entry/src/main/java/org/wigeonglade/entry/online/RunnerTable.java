package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.route.ConcurrencyLimit;
import org.wigeonglade.core.route.Subset;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Keeps the state of all known runners up to date with the fleet view. Thread-safe;
 * readers use an immutable snapshot that is replaced as a whole.
 */
public final class RunnerTable {

	/** Dispatcher of the runners in a domain without hosts. */
	private static final HostId NO_DISPATCHER = HostId.of("nobody");

	private final HostId self;

	private final FleetViewSource fleet;

	private final UpstreamClientFactory clientFactory;

	private final Ticker ticker;

	private final FleetLoadSource load;

	private volatile Snapshot snapshot = new Snapshot(FleetView.EMPTY, Map.of(), Map.of());

	RunnerTable(HostId self, FleetViewSource fleet, UpstreamClientFactory clientFactory, Ticker ticker,
			FleetLoadSource load) {
		this.self = self;
		this.fleet = fleet;
		this.clientFactory = clientFactory;
		this.ticker = ticker;
		this.load = load;
	}

	/**
	 * Returns the states of all known runners, including leaving ones.
	 * @return the states, never null
	 */
	public Collection<RunnerState> getStates() {
		return refresh().states().values();
	}

	/**
	 * Finds the state of a runner.
	 * @param id the identifier, not null
	 * @return the state, or null if it is unknown
	 */
	public RunnerState find(UpstreamId id) {
		return refresh().states().get(id);
	}

	/**
	 * Returns the entries of the digest of this host.
	 * @return one entry for each runner with work of this host or an open breaker
	 */
	public List<UpstreamView> toUpstreamViews() {
		return getStates().stream()
			.filter((s) -> s.getCountToAnnounce() > 0 || s.getBatchInFlight() > 0 || s.isBreakerOpen())
			.map(RunnerTable::toView)
			.toList();
	}

	/**
	 * Returns the fleet view that the table reflects.
	 * @return the view, never null
	 */
	public FleetView getFleet() {
		return refresh().view();
	}

	/**
	 * Returns the runners of this host's subset that may receive new work.
	 * @param service the service, not null
	 * @param domain the failure domain, not null
	 * @return the states, in stable order
	 */
	List<RunnerState> getSubset(ServiceName service, FailureDomain domain) {
		return refresh().subsets().getOrDefault(new ServiceDomain(service, domain), List.of());
	}

	Set<FailureDomain> getDomains(ServiceName service) {
		Set<FailureDomain> domains = new TreeSet<>();
		for (ServiceDomain group : refresh().subsets().keySet()) {
			if (group.service().equals(service)) {
				domains.add(group.domain());
			}
		}
		return domains;
	}

	private Snapshot refresh() {
		Snapshot current = this.snapshot;
		FleetView view = this.fleet.current();
		return (view != current.view()) ? apply(view) : current;
	}

	private synchronized Snapshot apply(FleetView view) {
		Snapshot previous = this.snapshot;
		if (view == previous.view()) {
			return previous;
		}
		Map<UpstreamId, RunnerState> next = new HashMap<>();
		Map<ServiceDomain, List<UpstreamMember>> groups = new HashMap<>();
		boolean firstView = previous.view() == FleetView.EMPTY;
		for (UpstreamMember member : view.upstreams()) {
			if (member.runner()) {
				RunnerState state = reuseOrCreate(previous.states().get(member.id()), member, firstView);
				HostId dispatcher = dispatcherOf(view, member);
				state.setDispatcher(dispatcher, dispatcher.equals(this.self));
				next.put(member.id(), state);
				if (!member.leaving()) {
					groups
						.computeIfAbsent(new ServiceDomain(member.service(), member.domain()), (g) -> new ArrayList<>())
						.add(member);
				}
			}
		}
		Map<ServiceDomain, List<RunnerState>> subsets = new HashMap<>();
		groups.forEach((group, members) -> subsets.put(group,
				Subset.of(this.self, members, Subset.DEFAULT_SIZE).stream().map((m) -> next.get(m.id())).toList()));
		this.snapshot = new Snapshot(view, Map.copyOf(next), Map.copyOf(subsets));
		return this.snapshot;
	}

	private HostId dispatcherOf(FleetView view, UpstreamMember member) {
		return Rendezvous.first(member.id().value(), view.getHostsOf(member.domain()), (h) -> h.id().value())
			.map(HostMember::id)
			.orElse(NO_DISPATCHER);
	}

	private RunnerState reuseOrCreate(RunnerState existing, UpstreamMember member, boolean firstView) {
		if (existing != null && existing.getMember().incarnation() == member.incarnation()
				&& existing.getMember().address().equals(member.address())) {
			existing.setMember(member);
			return existing;
		}
		long now = this.ticker.nanos();
		return new RunnerState(member, this.clientFactory.createEngineClient(member, LinkPurpose.CONTROL),
				this.clientFactory.createEngineClient(member, LinkPurpose.BATCH),
				firstView ? ConcurrencyLimit.initial(now) : ConcurrencyLimit.slowStart(now),
				() -> this.load.currentLoad().getUpstream(member.id()).inFlightOnline());
	}

	private static UpstreamView toView(RunnerState state) {
		return UpstreamView.newBuilder()
			.setUpstream(state.getMember().id().value())
			.setIncarnation(state.getMember().incarnation())
			.setInFlightOnline(state.getCountToAnnounce())
			.setInFlightBatch(state.getBatchInFlight())
			.setLimit(state.getLimit())
			.setLeaving(state.getMember().leaving())
			.setOpenBreaker(state.isBreakerOpen())
			.build();
	}

	private record ServiceDomain(ServiceName service, FailureDomain domain) {
	}

	private record Snapshot(FleetView view, Map<UpstreamId, RunnerState> states,
			Map<ServiceDomain, List<RunnerState>> subsets) {
	}

}
