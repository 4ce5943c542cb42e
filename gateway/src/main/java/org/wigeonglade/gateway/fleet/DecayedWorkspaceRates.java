package org.wigeonglade.gateway.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * Workspace rates as exponentially decayed counts. It counts the requests that it is told
 * of: those of this host, and those of other hosts where they are reported. A workspace
 * is entitled to a share in proportion to its rate limit or, without one, to its usual
 * rate: in proportion, because equal absolute shares would take all of a shortage from
 * the largest workspaces, although they use what they always use. Not thread-safe.
 */
public final class DecayedWorkspaceRates implements WorkspaceRates {

	/**
	 * Time constant of the usual rate: a flood of a few seconds does not raise the share
	 * of the workspace much.
	 */
	private static final double USUAL_SECONDS = 60;

	/** Time without a request after which a workspace is not active any more. */
	private static final long EXPIRY_MILLIS = 60_000;

	/**
	 * Bound of the workspaces kept; beyond it those without requests for longest go
	 * first.
	 */
	private static final int MAX_WORKSPACES = 10_000;

	/** Time for which the sums over all workspaces are reused. */
	private static final long SUM_REUSE_MILLIS = 100;

	/** Use relative to the share beyond which a workspace is above its share. */
	private static final double ABOVE_SHARE = 1.3;

	private final ToDoubleFunction<WorkspaceId> limits;

	// In the order of the last request.
	private final Map<WorkspaceId, Entry> entries = new LinkedHashMap<>();

	private final DecayedCount total = new DecayedCount(WINDOW_SECONDS);

	private double entitlementSum;

	private double typicalUse = 1;

	private long sumMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates rates without counts.
	 * @param limits returns the rate limit of a workspace in requests per second, 0 if it
	 * has none; not null
	 */
	public DecayedWorkspaceRates(ToDoubleFunction<WorkspaceId> limits) {
		this.limits = limits;
	}

	@Override
	public void record(WorkspaceId workspace, double requests, long nowMillis) {
		// Inserted again, so that the entries stay in the order of the last request.
		Entry entry = this.entries.remove(workspace);
		if (entry == null) {
			entry = new Entry();
		}
		this.entries.put(workspace, entry);
		entry.recent.add(requests, nowMillis);
		entry.usual.add(requests, nowMillis);
		entry.lastMillis = nowMillis;
		this.total.add(requests, nowMillis);
		Iterator<Entry> oldestFirst = this.entries.values().iterator();
		while (nowMillis - oldestFirst.next().lastMillis > EXPIRY_MILLIS || this.entries.size() > MAX_WORKSPACES) {
			oldestFirst.remove();
		}
	}

	@Override
	public double getRate(WorkspaceId workspace, long nowMillis) {
		Entry entry = this.entries.get(workspace);
		return (entry != null) ? entry.recent.get(nowMillis) / WINDOW_SECONDS : 0;
	}

	@Override
	public double getTotalRate(long nowMillis) {
		return this.total.get(nowMillis) / WINDOW_SECONDS;
	}

	@Override
	public double getEntitledShare(WorkspaceId workspace, long nowMillis) {
		updateSums(nowMillis);
		double entitlement = getEntitlement(workspace, this.entries.get(workspace), nowMillis);
		return (entitlement > 0) ? Math.min(1, entitlement / Math.max(entitlement, this.entitlementSum)) : 0;
	}

	@Override
	public double getTypicalUse(long nowMillis) {
		updateSums(nowMillis);
		return this.typicalUse;
	}

	@Override
	public int getActiveWorkspaces() {
		return this.entries.size();
	}

	private void updateSums(long nowMillis) {
		if (nowMillis - this.sumMillis < SUM_REUSE_MILLIS) {
			return;
		}
		this.sumMillis = nowMillis;
		this.entitlementSum = 0;
		this.entries.forEach((id, entry) -> this.entitlementSum += getEntitlement(id, entry, nowMillis));
		double totalRequests = this.total.get(nowMillis);
		double usedSum = 0;
		double fairSum = 0;
		for (Map.Entry<WorkspaceId, Entry> each : this.entries.entrySet()) {
			double used = each.getValue().recent.get(nowMillis);
			double fair = totalRequests * getEntitlement(each.getKey(), each.getValue(), nowMillis)
					/ Math.max(Double.MIN_NORMAL, this.entitlementSum);
			if (used + PRIOR_REQUESTS <= ABOVE_SHARE * (fair + PRIOR_REQUESTS)) {
				usedSum += used;
				fairSum += fair;
			}
		}
		this.typicalUse = (fairSum > 0) ? Math.min(1, usedSum / fairSum) : 1;
	}

	private double getEntitlement(WorkspaceId workspace, Entry entry, long nowMillis) {
		double limit = this.limits.applyAsDouble(workspace);
		return (limit > 0 || entry == null) ? limit : entry.usual.get(nowMillis) / USUAL_SECONDS;
	}

	private static final class Entry {

		private final DecayedCount recent = new DecayedCount(WINDOW_SECONDS);

		private final DecayedCount usual = new DecayedCount(USUAL_SECONDS);

		private long lastMillis;

	}

}
