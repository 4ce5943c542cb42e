package org.wigeonglade.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.KvMemoryTracker;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.RequestLimits;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.RunnerSpeeds;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.RelayedReport;
import org.wigeonglade.schema.generated.gateway.RunnerLoad;

/**
 * Applies what other hosts report of their load, themselves or by way of a relaying host.
 * Confined to the event loop.
 */
final class LoadReportReader {

	private final LoadTracker loadTracker;

	private final RequestLimits requestLimits;

	private final PeerTable table;

	private KvMemoryTracker memory = new KvMemoryTracker();

	private Optional<UsageExchange> usage = Optional.empty();

	private RunnerSpeeds speeds = RunnerSpeeds.disabled();

	private Function<RunnerId, Optional<RunnerEntry>> registrations = (runner) -> Optional.empty();

	LoadReportReader(LoadTracker loadTracker, RequestLimits requestLimits, PeerTable table) {
		this.loadTracker = loadTracker;
		this.requestLimits = requestLimits;
		this.table = table;
	}

	void setUsageExchange(UsageExchange exchange) {
		this.usage = Optional.of(exchange);
	}

	void setSpeeds(RunnerSpeeds runnerSpeeds, Function<RunnerId, Optional<RunnerEntry>> registered) {
		this.speeds = runnerSpeeds;
		this.registrations = registered;
	}

	void setMemoryTracker(KvMemoryTracker tracker) {
		this.memory = tracker;
	}

	/**
	 * Applies a datagram of another host.
	 * @param host the host, not null
	 * @param datagram the datagram, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if it is newer than all others of the host
	 */
	boolean apply(HostId host, Datagram datagram, long nowMillis) {
		long incarnation = datagram.getSender().getIncarnation();
		this.usage.ifPresent((exchange) -> exchange.recordHeard(host, incarnation, datagram.getLeaving(), nowMillis));
		List<RunnerLoad> loads = datagram.getLoadsList();
		if (!this.loadTracker.applyReport(host,
				new LoadTracker.Report(incarnation, datagram.getSequence(), nowMillis, readLoads(loads)))) {
			return false;
		}
		chargeRemoteRequests(host, incarnation, loads, nowMillis);
		this.usage.ifPresent((exchange) -> exchange.apply(host, incarnation, datagram.getWorkspaceUsageList(),
				datagram.getWorkspaceLevelsList(), nowMillis));
		applySpeeds(host, loads, nowMillis);
		Map<RunnerId, Integer> tokens = new HashMap<>();
		for (RunnerLoad load : loads) {
			if (load.getTokens() > 0) {
				tokens.merge(RunnerId.of(load.getRunner()), load.getTokens(), Math::max);
			}
		}
		this.memory.applyReport(host, incarnation, datagram.getSequence(), tokens, nowMillis);
		return true;
	}

	/**
	 * Applies the changes at another host that a relaying host passed on. A host that
	 * counts as lost becomes alive by its own datagrams only.
	 * @param report the changes, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void applyRelayed(RelayedReport report, long nowMillis) {
		HostId host = HostId.of(report.getHost());
		long incarnation = report.getIncarnation();
		Optional<PeerTable.Peer> peer = this.table.find(host)
			.filter((found) -> found.isServing() && found.getIncarnation() == incarnation);
		List<RunnerLoad> loads = report.getLoadsList();
		if (peer.isEmpty() || !this.loadTracker.applyChanges(host,
				new LoadTracker.Report(incarnation, report.getSequence(), nowMillis, readLoads(loads)))) {
			return;
		}
		chargeRemoteRequests(host, incarnation, loads, nowMillis);
		this.usage.ifPresent((exchange) -> {
			exchange.recordHeard(host, incarnation, false, nowMillis);
			exchange.apply(host, incarnation, report.getWorkspaceUsageList(), List.of(), nowMillis);
		});
		Map<RunnerId, Integer> tokens = new HashMap<>();
		loads.forEach((load) -> tokens.put(RunnerId.of(load.getRunner()), load.getTokens()));
		this.memory.applyChanges(host, incarnation, report.getSequence(), tokens, nowMillis);
		peer.get().setWaitingItems(report.getWaitingItems());
		this.table.recordRelayed(peer.get(), nowMillis);
	}

	private static Map<RunnerId, LoadTracker.Load> readLoads(List<RunnerLoad> reported) {
		Map<RunnerId, LoadTracker.Load> loads = new HashMap<>();
		reported
			.forEach((l) -> loads.put(RunnerId.of(l.getRunner()), new LoadTracker.Load(l.getOnline(), l.getBatch())));
		return loads;
	}

	private void applySpeeds(HostId host, List<RunnerLoad> loads, long nowMillis) {
		for (RunnerLoad load : loads) {
			if (load.getSpeed() != 0) {
				this.registrations.apply(RunnerId.of(load.getRunner()))
					.ifPresent((runner) -> this.speeds.applyReport(host, runner, load.getSpeed(), nowMillis));
			}
		}
	}

	private void chargeRemoteRequests(HostId host, long incarnation, List<RunnerLoad> loads, long nowMillis) {
		for (RunnerLoad load : loads) {
			if (load.getSent() > 0) {
				this.requestLimits.recordRemoteSent(host + "." + incarnation, RunnerId.of(load.getRunner()),
						load.getSent(), nowMillis);
			}
		}
	}

}
