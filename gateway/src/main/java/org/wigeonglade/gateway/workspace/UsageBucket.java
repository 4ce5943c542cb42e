package org.wigeonglade.gateway.workspace;

import java.time.Duration;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * The replica of the token bucket of one workspace at this host. It holds the tokens of
 * the hosts that contribute to it, this one included. Not thread-safe.
 */
final class UsageBucket {

	/**
	 * Requests beyond the configured burst, so that random arrivals of a workspace below
	 * its limit are not rejected, such as 0.5/s with a burst of 0.8. The permitted sum
	 * over all hosts leaves 20 requests, most of which are for the delay of reports.
	 */
	static final double EXTRA_BURST = 6;

	/**
	 * Time in seconds whose requests the debt may amount to. The permitted sum is
	 * measured over 5 s, so an older excess need not be paid off.
	 */
	private static final double MAX_DEBT_SECONDS = 5;

	/** Factor on the chance to admit for each request that makes a debt. */
	private static final double CHANCE_DECREASE = 0.9;

	/** Factor on the chance to admit for each refill that was not used. */
	private static final double CHANCE_INCREASE = 1.5;

	/** Time in milliseconds between two increases of the chance to admit. */
	private static final long INCREASE_INTERVAL_MILLIS = 100;

	/**
	 * Time in milliseconds whose reported requests are taken to be on their way again:
	 * the delay of reports.
	 */
	private static final double REPORT_DELAY_MILLIS = 60;

	private static final double MIN_CHANCE = 0.01;

	/** Share of the burst below which the chance to admit applies. */
	private static final double LOW_LEVEL_SHARE = 0.25;

	/** Level in requests that counts as a refill that was not used. */
	private static final double UNUSED_REFILL = 2;

	private static final int SLOT_MILLIS = 50;

	/**
	 * Slots of the recent charges: longer than the silence of a host that is detached.
	 */
	private static final int SLOTS = 20;

	/** Time in milliseconds after which a rejection counts half for retry times. */
	private static final double REJECTION_HALF_LIFE_MILLIS = 1_000;

	/** Time in milliseconds over which rejected callers are spread at least. */
	private static final double MIN_SPREAD_MILLIS = 100;

	/** Time in milliseconds over which rejected callers are spread at most. */
	private static final double MAX_SPREAD_MILLIS = 3_000;

	/** Longest time until a request fits, in milliseconds: rates may be close to 0. */
	private static final double MAX_WAIT_MILLIS = 600_000;

	private final WorkspaceId workspace;

	private final long hash;

	// Portion of each contributing host at the first use within each recent slot.
	private final double[] portions = new double[SLOTS];

	private final long[] slots = new long[SLOTS];

	private UsageLimit limit;

	private double level;

	private double settledMillis;

	private double chance = 1;

	private long increasedMillis;

	private double recentCharges;

	private long recentMillis;

	private double rejections;

	private long rejectedMillis;

	private int admitted;

	private long changedMillis;

	// A bucket starts with one token for all hosts together, so that a start adds no
	// burst.
	UsageBucket(WorkspaceId workspace, UsageLimit limit, UsageGroup group) {
		this.workspace = workspace;
		this.hash = UsageEntry.hash(workspace);
		reset(limit, group);
	}

	// Called when the hosts become known.
	void addFirstToken(UsageGroup group) {
		settle(group);
		this.level = Math.min(getCapacity(group), this.level + 1.0 / group.getSize());
	}

	void reset(UsageLimit next, UsageGroup group) {
		this.limit = next;
		this.level = group.isKnown() ? group.getShare() : 0;
		this.settledMillis = group.getAccruedMillis();
	}

	WorkspaceId getWorkspace() {
		return this.workspace;
	}

	long getHash() {
		return this.hash;
	}

	int getAdmitted() {
		return this.admitted;
	}

	long getChangedMillis() {
		return this.changedMillis;
	}

	double getLevel() {
		return this.level;
	}

	// Of what has accrued or is stored, a lower limit leaves what fits it.
	void setLimit(UsageLimit next, UsageGroup group) {
		settle(group);
		this.limit = next;
		this.level = Math.clamp(this.level, getMinLevel(), getCapacity(group));
	}

	void settle(UsageGroup group) {
		double accrued = getRatePerMilli() * (group.getAccruedMillis() - this.settledMillis);
		this.level = Math.min(getCapacity(group), this.level + accrued);
		this.settledMillis = group.getAccruedMillis();
		long slot = Math.floorDiv(group.getNowMillis(), SLOT_MILLIS);
		int index = Math.floorMod(slot, SLOTS);
		if (this.slots[index] != slot) {
			this.slots[index] = slot;
			this.portions[index] = this.level / group.getContributors();
		}
	}

	boolean tryTake(UsageGroup group, double random, long nowMillis) {
		settle(group);
		increaseChance(group, nowMillis);
		boolean low = this.level < LOW_LEVEL_SHARE * getCapacity(group);
		if (getUsable(group) < 1 || (low && random >= this.chance)) {
			return false;
		}
		this.level--;
		this.admitted++;
		this.changedMillis = nowMillis;
		return true;
	}

	// Without the requests that others have probably admitted and not reported yet, and
	// without what is withheld of silent hosts: their portions as of their last
	// datagrams.
	private double getUsable(UsageGroup group) {
		double usable = this.level - decayRecentCharges(group);
		double withheld = group.getWithheldHosts();
		return (withheld > 0) ? usable - withheld * Math.max(0, getPortion(group, group.getWithheldSinceMillis()))
				: usable;
	}

	private double decayRecentCharges(UsageGroup group) {
		double age = group.getNowMillis() - this.recentMillis;
		this.recentCharges *= Math.exp(-age / REPORT_DELAY_MILLIS);
		this.recentMillis = group.getNowMillis();
		return this.recentCharges;
	}

	void giveBack(UsageGroup group, long nowMillis) {
		settle(group);
		this.level = Math.min(getCapacity(group), this.level + 1);
		this.admitted--;
		this.changedMillis = nowMillis;
	}

	// The number is negative if another host has given requests back.
	void charge(int requests, UsageGroup group) {
		settle(group);
		this.level = Math.clamp(this.level - requests, getMinLevel(), getCapacity(group));
		this.recentCharges = Math.clamp(decayRecentCharges(group) + requests, 0, getDepth());
		double owed = Math.min(requests, -this.level);
		if (owed > 0) {
			this.chance = Math.max(MIN_CHANCE, this.chance * Math.pow(CHANCE_DECREASE, owed));
		}
	}

	// Removes the share of one host as of its last datagram: it does not know of later
	// charges and may have used its share.
	double removeShare(UsageGroup group, long lastHeardMillis) {
		settle(group);
		double share = getPortion(group, lastHeardMillis);
		this.level = Math.max(getMinLevel(), this.level - share);
		return share;
	}

	// Called when the group has been enlarged by the host.
	void addShare(double share, UsageGroup group) {
		settle(group);
		double bound = getDepth() / group.getSize();
		double debtBound = getMinLevel() / group.getSize();
		this.level = Math.clamp(this.level + Math.clamp(share, debtBound, bound), getMinLevel(), getCapacity(group));
	}

	double getAccrual(long millis, UsageGroup group) {
		return getRatePerMilli() * millis / group.getSize();
	}

	Duration reject(UsageGroup group, double random, long nowMillis) {
		double age = nowMillis - this.rejectedMillis;
		this.rejections = this.rejections * Math.pow(0.5, age / REJECTION_HALF_LIFE_MILLIS) + 1;
		this.rejectedMillis = nowMillis;
		double untilFit = Math.max(0, 1 - getUsable(group)) / (getRatePerMilli() * group.getShare());
		double spread = this.rejections * group.getSize() / getRatePerMilli();
		double bounded = Math.clamp(spread, MIN_SPREAD_MILLIS, MAX_SPREAD_MILLIS);
		return Duration.ofMillis(1 + Math.round(Math.min(untilFit, MAX_WAIT_MILLIS) + random * bounded));
	}

	private void increaseChance(UsageGroup group, long nowMillis) {
		double refill = Math.min(UNUSED_REFILL, LOW_LEVEL_SHARE * getCapacity(group));
		if (this.level >= refill && nowMillis - this.increasedMillis >= INCREASE_INTERVAL_MILLIS) {
			this.chance = Math.min(1, this.chance * CHANCE_INCREASE);
			this.increasedMillis = nowMillis;
		}
	}

	// The portion of each host at a time. A bucket that was not used then had at most the
	// level that was recorded later.
	private double getPortion(UsageGroup group, long millis) {
		long last = Math.floorDiv(group.getNowMillis(), SLOT_MILLIS);
		for (long slot = Math.max(Math.floorDiv(millis, SLOT_MILLIS), last - SLOTS + 1); slot <= last; slot++) {
			int index = Math.floorMod(slot, SLOTS);
			if (this.slots[index] == slot) {
				return this.portions[index];
			}
		}
		return this.level / group.getContributors();
	}

	private double getCapacity(UsageGroup group) {
		return getDepth() * group.getShare();
	}

	private double getDepth() {
		return this.limit.burst() + EXTRA_BURST;
	}

	private double getMinLevel() {
		return -MAX_DEBT_SECONDS * this.limit.requestsPerSecond() - getDepth();
	}

	private double getRatePerMilli() {
		return this.limit.requestsPerSecond() / 1_000;
	}

}
