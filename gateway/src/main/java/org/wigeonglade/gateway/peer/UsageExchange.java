package org.wigeonglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiConsumer;

import com.google.common.collect.Lists;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.workspace.UsageEntry;
import org.wigeonglade.gateway.workspace.WorkspaceRateLimiter;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.WorkspaceLevel;
import org.wigeonglade.schema.generated.gateway.WorkspaceUsage;

/**
 * Writes the usage of workspaces into datagrams to other hosts and applies what they
 * report. Without limited workspaces, datagrams are not changed. Confined to the event
 * loop.
 */
public final class UsageExchange {

	/**
	 * Number of workspaces in one report of levels, so that few of them are fragmented.
	 */
	private static final int WORKSPACES_PER_REPORT = 40;

	private final WorkspaceRateLimiter limiter;

	/**
	 * Creates an exchange.
	 * @param limiter the limiter of this host, not null
	 */
	public UsageExchange(WorkspaceRateLimiter limiter) {
		this.limiter = limiter;
	}

	/**
	 * Adds the recent changes to a datagram.
	 * @param datagram the datagram, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void addChanges(Datagram.Builder datagram, long nowMillis) {
		this.limiter.getChanges(nowMillis).forEach((entry) -> datagram.addWorkspaceUsage(encode(entry)));
	}

	/**
	 * Records that another host was heard, by its own datagram or by way of another one.
	 * @param host the host, not null
	 * @param incarnation its incarnation
	 * @param leaving whether it is shutting down
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void recordHeard(HostId host, long incarnation, boolean leaving, long nowMillis) {
		this.limiter.heard(host, incarnation, leaving, nowMillis);
	}

	/**
	 * Applies the entries of a report that is newer than all others of its host.
	 * @param host the host, not null
	 * @param incarnation its incarnation
	 * @param usage the usage of workspaces, not null
	 * @param levels the levels of some of them, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void apply(HostId host, long incarnation, List<WorkspaceUsage> usage, List<WorkspaceLevel> levels, long nowMillis) {
		if (usage.isEmpty()) {
			return;
		}
		Map<Long, OptionalDouble> portions = new HashMap<>();
		levels.forEach(
				(level) -> portions.put(level.getWorkspace(), OptionalDouble.of(level.getMillitokens() / 1_000.0)));
		List<UsageEntry> entries = new ArrayList<>();
		usage.forEach((used) -> entries.add(new UsageEntry(used.getWorkspace(), used.getAdmitted(),
				portions.getOrDefault(used.getWorkspace(), OptionalDouble.empty()))));
		this.limiter.apply(host, incarnation, entries, nowMillis);
	}

	/**
	 * Passes on the reports of levels that are due.
	 * @param nowMillis the monotonic time in milliseconds
	 * @param sender sends the content of one datagram to a host, not null
	 */
	void sendReports(long nowMillis, BiConsumer<HostId, Datagram> sender) {
		for (HostId host : this.limiter.takeReportsDue(nowMillis)) {
			Lists.partition(this.limiter.getReport(nowMillis), WORKSPACES_PER_REPORT).forEach((entries) -> {
				Datagram.Builder content = Datagram.newBuilder();
				for (UsageEntry entry : entries) {
					content.addWorkspaceUsage(encode(entry))
						.addWorkspaceLevels(WorkspaceLevel.newBuilder()
							.setWorkspace(entry.workspace())
							.setMillitokens((int) Math.round(entry.portion().orElse(0) * 1_000)));
				}
				sender.accept(host, content.build());
			});
		}
	}

	private static WorkspaceUsage encode(UsageEntry entry) {
		return WorkspaceUsage.newBuilder().setWorkspace(entry.workspace()).setAdmitted(entry.admitted()).build();
	}

}
