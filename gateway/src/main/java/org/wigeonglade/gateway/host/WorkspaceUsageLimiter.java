package org.wigeonglade.gateway.host;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.workspace.UsageDecision;
import org.wigeonglade.gateway.workspace.UsageLimit;
import org.wigeonglade.gateway.workspace.WorkspaceRateLimiter;

/**
 * Applies the limits of workspaces of the configuration to requests, counts the decisions
 * and logs when a workspace begins and ends to be limited. Confined to the event loop.
 */
final class WorkspaceUsageLimiter implements OnlineContext.UsageLimiter {

	private static final EventLogger LOG = EventLogger.of(WorkspaceUsageLimiter.class);

	/**
	 * Time in milliseconds without a rejection after which a workspace is no longer
	 * limited: longer than the retry times of rejected callers.
	 */
	private static final long QUIET_MILLIS = 5_000;

	private final WorkspaceRateLimiter limiter;

	private final Runnable changed;

	private final Ticker ticker;

	private final Counter decisions;

	private final Map<WorkspaceId, Limitation> limited = new HashMap<>();

	WorkspaceUsageLimiter(WorkspaceRateLimiter limiter, Runnable changed, PrometheusRegistry registry, Ticker ticker) {
		this.limiter = limiter;
		this.changed = changed;
		this.ticker = ticker;
		// Without the workspace as a label: a configuration may hold thousands of them.
		this.decisions = Counter.builder()
			.withoutExemplars()
			.name("wigeonglade_usage_decisions_total")
			.help("Decisions on requests of workspaces with a usage limit")
			.labelNames("decision")
			.register(registry);
	}

	@Override
	public UsageDecision tryAdmit(WorkspaceId workspace) {
		long now = this.ticker.millis();
		UsageDecision decision = this.limiter.tryAdmit(workspace, now);
		switch (decision) {
			case UsageDecision.Admit admit -> {
				if (this.limiter.isLimited(workspace)) {
					this.decisions.labelValues("admitted").inc();
					this.changed.run();
				}
			}
			case UsageDecision.Reject reject -> {
				this.decisions.labelValues("rejected").inc();
				recordRejection(workspace, reject, now);
			}
		}
		return decision;
	}

	@Override
	public void giveBack(WorkspaceId workspace) {
		if (this.limiter.isLimited(workspace)) {
			this.limiter.giveBack(workspace, this.ticker.millis());
			this.decisions.labelValues("given_back").inc();
			this.changed.run();
		}
	}

	// Returns whether any workspace is limited.
	boolean setLimits(RoutingTable table) {
		Map<WorkspaceId, UsageLimit> limits = new HashMap<>();
		table.getWorkspaces().getWorkspaces().forEach((workspace) -> limits.put(workspace.id(), workspace.limit()));
		this.limiter.setLimits(limits, this.ticker.millis());
		return !limits.isEmpty();
	}

	// Updates the hosts among which the limits are divided, and logs ended limitations.
	void maintain(PeerTable peers, boolean registrationsRead) {
		long now = this.ticker.millis();
		if (registrationsRead) {
			Map<HostId, Long> members = new HashMap<>();
			peers.getPeers().forEach((peer) -> members.put(peer.getHost(), peer.getIncarnation()));
			this.limiter.setMembers(members, now);
		}
		Iterator<Map.Entry<WorkspaceId, Limitation>> entries = this.limited.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<WorkspaceId, Limitation> entry = entries.next();
			Limitation limitation = entry.getValue();
			if (now - limitation.lastMillis > QUIET_MILLIS) {
				LOG.log(GatewayEvent.WORKSPACE_LIMIT_ENDED, entry.getKey(), limitation.rejected,
						limitation.lastMillis - limitation.sinceMillis);
				entries.remove();
			}
		}
	}

	private void recordRejection(WorkspaceId workspace, UsageDecision.Reject rejection, long now) {
		Limitation limitation = this.limited.get(workspace);
		if (limitation == null) {
			limitation = new Limitation(now);
			this.limited.put(workspace, limitation);
			LOG.log(GatewayEvent.WORKSPACE_LIMITED, workspace, this.limiter.getGroupSize(),
					rejection.retryAfter().toMillis());
		}
		limitation.lastMillis = now;
		limitation.rejected++;
	}

	private static final class Limitation {

		private final long sinceMillis;

		private long lastMillis;

		private long rejected;

		private Limitation(long nowMillis) {
			this.sinceMillis = nowMillis;
		}

	}

}
