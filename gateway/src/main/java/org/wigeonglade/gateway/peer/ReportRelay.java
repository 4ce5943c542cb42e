package org.wigeonglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.RelayedReport;
import org.wigeonglade.schema.generated.gateway.RunnerLoad;
import org.wigeonglade.schema.generated.gateway.WorkspaceUsage;

/**
 * Passes the changes of load of all hosts on to a group of hosts. In a large fleet, most
 * hosts are told of changes by one host of their failure domain, which they choose and
 * name in their datagrams; the others are told by each host itself. A host that does not
 * hear the one that it chose chooses another one. Heartbeats go to all hosts directly and
 * hold the whole load, so that a lost change is made good by the next one. Not
 * thread-safe.
 */
final class ReportRelay {

	/** Number of hosts in a group, the relaying one included. */
	static final int GROUP_SIZE = 12;

	private final HostId self;

	private final FailureDomain domain;

	private final PeerTable table;

	private final Map<HostId, LastReport> lastReports = new HashMap<>();

	private final Map<HostId, RelayedReport.Builder> changes = new LinkedHashMap<>();

	private Optional<HostId> chosen = Optional.empty();

	/**
	 * Creates a relay without changes.
	 * @param self this host, not null
	 * @param domain its failure domain, not null
	 * @param table the other hosts, not null
	 */
	ReportRelay(HostId self, FailureDomain domain, PeerTable table) {
		this.self = self;
		this.domain = domain;
		this.table = table;
	}

	/**
	 * Chooses the host that tells this one of changes.
	 * @param leaving whether this host is shutting down
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if another one than before was chosen
	 */
	boolean choose(boolean leaving, long nowMillis) {
		Optional<HostId> previous = this.chosen;
		this.chosen = leaving ? Optional.empty() : findRelay(nowMillis);
		return !this.chosen.equals(previous);
	}

	// The first hosts of a failure domain by name relay, each for an equal part of it.
	private Optional<HostId> findRelay(long nowMillis) {
		if (!this.table.isLargeFleet()) {
			return Optional.empty();
		}
		List<HostId> hosts = Stream
			.concat(Stream.of(this.self),
					this.table.getPeers()
						.stream()
						.filter((peer) -> peer.getDomain().equals(this.domain) && peer.isServing()
								&& this.table.isHeard(peer, nowMillis))
						.map(PeerTable.Peer::getHost))
			.sorted()
			.toList();
		int groups = (hosts.size() + GROUP_SIZE - 1) / GROUP_SIZE;
		int rank = hosts.indexOf(this.self);
		return (rank < groups) ? Optional.empty() : Optional.of(hosts.get(rank % groups));
	}

	/**
	 * Returns the host that tells this one of changes.
	 * @return the host, empty if all hosts are to tell this one themselves
	 */
	Optional<HostId> getChosen() {
		return this.chosen;
	}

	/**
	 * Returns whether this host has to tell another one of its own changes itself.
	 * @param peer the other host, not null
	 * @return true unless a live host tells it
	 */
	boolean isToldDirectly(PeerTable.Peer peer) {
		return peer.getReportRelay()
			.filter((relay) -> relay.equals(this.self)
					|| this.table.find(relay).filter(PeerTable.Peer::isServing).isPresent())
			.isEmpty();
	}

	/**
	 * Returns whether this host tells another one of changes.
	 * @param peer the other host, not null
	 * @return true if the other host has chosen this one
	 */
	boolean isListener(PeerTable.Peer peer) {
		return peer.isAlive() && peer.getReportRelay().filter(this.self::equals).isPresent();
	}

	/**
	 * Returns whether this host tells any other one of changes.
	 * @return true if it has listeners
	 */
	boolean hasListeners() {
		return this.table.getPeers().stream().anyMatch(this::isListener);
	}

	/**
	 * Collects what has changed since the last report of another host.
	 * @param datagram the new report, newer than the last one; not null
	 * @return true if there is a change to pass on
	 */
	boolean recordReport(Datagram datagram) {
		HostId host = HostId.of(datagram.getSender().getHost());
		LastReport last = this.lastReports.get(host);
		LastReport report = LastReport.of(datagram);
		this.lastReports.put(host, report);
		Map<String, RunnerLoad> before = (last != null && last.incarnation == report.incarnation) ? last.loads
				: Map.of();
		List<RunnerLoad> changed = new ArrayList<>();
		report.loads.forEach((runner, load) -> {
			if (!load.equals(before.get(runner))) {
				changed.add(load);
			}
		});
		before.keySet()
			.stream()
			.filter((runner) -> !report.loads.containsKey(runner))
			.forEach((runner) -> changed.add(RunnerLoad.newBuilder().setRunner(runner).build()));
		boolean usageChanged = last == null || !last.usage.equals(report.usage);
		if (changed.isEmpty() && !usageChanged && last.waitingItems == report.waitingItems) {
			return false;
		}
		RelayedReport.Builder pending = this.changes.get(host);
		if (pending == null || pending.getIncarnation() != report.incarnation) {
			pending = RelayedReport.newBuilder().setHost(host.value()).setIncarnation(report.incarnation);
			this.changes.put(host, pending);
		}
		pending.setSequence(datagram.getSequence()).setWaitingItems(report.waitingItems);
		List<RunnerLoad> loads = merge(pending.getLoadsList(), changed, RunnerLoad::getRunner);
		List<WorkspaceUsage> usage = merge(pending.getWorkspaceUsageList(), report.usage, WorkspaceUsage::getWorkspace);
		pending.clearLoads().addAllLoads(loads).clearWorkspaceUsage().addAllWorkspaceUsage(usage);
		return true;
	}

	// The newer entry of each key is kept.
	private static <T> List<T> merge(List<T> earlier, List<T> newer, Function<T, Object> key) {
		Map<Object, T> merged = new LinkedHashMap<>();
		earlier.forEach((entry) -> merged.put(key.apply(entry), entry));
		newer.forEach((entry) -> merged.put(key.apply(entry), entry));
		return List.copyOf(merged.values());
	}

	/**
	 * Returns the changes that were collected, and forgets them.
	 * @return one report for each host with changes, never null
	 */
	List<RelayedReport> takeChanges() {
		List<RelayedReport> taken = this.changes.values().stream().map(RelayedReport.Builder::build).toList();
		this.changes.clear();
		return taken;
	}

	/**
	 * Forgets the last reports, so that the next ones are passed on as a whole; called
	 * while there are no listeners.
	 */
	void clear() {
		this.lastReports.clear();
		this.changes.clear();
	}

	/**
	 * What the last datagram of a host said.
	 */
	private record LastReport(long incarnation, Map<String, RunnerLoad> loads, int waitingItems,
			List<WorkspaceUsage> usage) {

		static LastReport of(Datagram datagram) {
			Map<String, RunnerLoad> loads = new HashMap<>();
			datagram.getLoadsList().forEach((load) -> loads.put(load.getRunner(), load));
			return new LastReport(datagram.getSender().getIncarnation(), loads, datagram.getWaitingItems(),
					datagram.getWorkspaceUsageList());
		}

	}

}
