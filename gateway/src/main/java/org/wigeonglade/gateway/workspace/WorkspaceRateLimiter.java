package org.wigeonglade.gateway.workspace;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Rate limiter of workspaces over all hosts: a replicated token bucket for each limited
 * workspace. The portion of the rate of another host accrues with its datagrams, so that
 * each side of a network partition has its share only; requests that other hosts report
 * are charged and may make a debt. When a host falls silent, its share of the tokens as
 * of its last datagram is removed, and added back when it returns. No input or output;
 * not thread-safe.
 */
public final class WorkspaceRateLimiter {

	/**
	 * Silence in milliseconds after which the share of a host is removed: two heartbeat
	 * intervals. The share of a host that lost a datagram returns in full with the next
	 * one, so a short silence costs little, whereas 0.7 s exceeded the bound in 1 of
	 * 10,000 schedules.
	 */
	static final long SILENCE_MILLIS = 500;

	/**
	 * Silence in milliseconds from which less and less of the share of a host may be
	 * used. It is shorter than the interval of heartbeats, since a host that admits sends
	 * a datagram at once; of a host that is idle, a quarter is withheld at most.
	 */
	static final long FRESH_MILLIS = 100;

	/**
	 * Silence in milliseconds up to which a host is taken to have lost datagrams only:
	 * its share is added back without waiting for its levels. At most the time after
	 * which it counts as lost, from which both hosts send their levels.
	 */
	static final long SHORT_SILENCE_MILLIS = 1_500;

	/**
	 * Time in milliseconds for which the levels of a returning host are awaited. They are
	 * sent three times, with the interval of heartbeats.
	 */
	static final long REPORT_WAIT_MILLIS = 1_000;

	/**
	 * Time in milliseconds for which a silent host, or one that is registered and was
	 * never heard, counts in the divisor of the rate. Network partitions last up to 12 s,
	 * and hosts that are killed are back within 8 s; both may follow each other.
	 */
	static final long RETENTION_MILLIS = 30_000;

	/**
	 * Time in milliseconds without any work from which this process has been delayed:
	 * there is a check with each interval of heartbeats.
	 */
	private static final long DELAY_MILLIS = 400;

	/**
	 * Time in milliseconds after a delay of this process in which no host counts as
	 * silent: its datagrams may wait to be read behind requests.
	 */
	private static final long DELAY_GRACE_MILLIS = 100;

	/**
	 * Ages in milliseconds of a change at which it is sent: at once, and repeated twice
	 * within 2 s, because datagrams are lost. Each period is longer than the interval of
	 * heartbeats.
	 */
	private static final long[][] SEND_PERIODS = { { 0, 400 }, { 900, 1_200 }, { 1_700, 2_000 } };

	/** Number of times that all levels are sent to a host that has become alive. */
	private static final int REPORT_REPETITIONS = 3;

	/** Interval between these in milliseconds. */
	private static final long REPORT_INTERVAL_MILLIS = 250;

	private static final UsageDecision ADMIT = new UsageDecision.Admit();

	private final Map<WorkspaceId, UsageBucket> buckets = new HashMap<>();

	private final Map<Long, UsageBucket> bucketsByHash = new HashMap<>();

	// Buckets of workspaces without a limit now: their counters must not restart.
	private final Map<WorkspaceId, UsageBucket> unlimited = new HashMap<>();

	private final Set<UsageBucket> changed = new LinkedHashSet<>();

	private final Map<HostId, UsageMember> members = new HashMap<>();

	private final Map<HostId, DueReport> reportsDue = new HashMap<>();

	private final UsageGroup group;

	private final long incarnation;

	private final RandomGenerator random;

	private long checkedMillis;

	private long activeMillis;

	private long graceEndMillis;

	/**
	 * Creates a limiter without limits and without other hosts.
	 * @param incarnation the incarnation of this host, which increases with each start
	 * @param random the source of random numbers, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public WorkspaceRateLimiter(long incarnation, RandomGenerator random, long nowMillis) {
		this.incarnation = incarnation;
		this.random = random;
		this.group = new UsageGroup(nowMillis);
		this.checkedMillis = nowMillis - 1;
		this.activeMillis = nowMillis;
		this.graceEndMillis = nowMillis;
	}

	/**
	 * Returns whether any workspace is limited.
	 * @return false if there is nothing to decide
	 */
	public boolean isActive() {
		return !this.buckets.isEmpty();
	}

	/**
	 * Returns whether a workspace is limited.
	 * @param workspace the workspace, not null
	 * @return false if all its requests are admitted
	 */
	public boolean isLimited(WorkspaceId workspace) {
		return this.buckets.containsKey(workspace);
	}

	/**
	 * Replaces the limits. A workspace that gets a limit starts with one token.
	 * @param limits the limits by workspace, not null; those without a rate are no limits
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void setLimits(Map<WorkspaceId, UsageLimit> limits, long nowMillis) {
		refresh(nowMillis);
		for (UsageBucket bucket : List.copyOf(this.buckets.values())) {
			if (!limits.getOrDefault(bucket.getWorkspace(), UsageLimit.NONE).isLimited()) {
				this.buckets.remove(bucket.getWorkspace());
				this.bucketsByHash.remove(bucket.getHash());
				this.changed.remove(bucket);
				this.unlimited.put(bucket.getWorkspace(), bucket);
			}
		}
		limits.forEach((workspace, limit) -> {
			UsageBucket known = this.buckets.get(workspace);
			if (known != null) {
				known.setLimit(limit, this.group);
			}
			else if (limit.isLimited()) {
				addBucket(workspace, limit);
			}
		});
	}

	private void addBucket(WorkspaceId workspace, UsageLimit limit) {
		UsageBucket bucket = this.unlimited.remove(workspace);
		if (bucket != null) {
			bucket.reset(limit, this.group);
		}
		else {
			bucket = new UsageBucket(workspace, limit, this.group);
		}
		this.buckets.put(workspace, bucket);
		this.bucketsByHash.put(bucket.getHash(), bucket);
	}

	/**
	 * Decides on a request and charges it if it fits.
	 * @param workspace the workspace, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the decision, never null
	 */
	public UsageDecision tryAdmit(WorkspaceId workspace, long nowMillis) {
		UsageBucket bucket = this.buckets.get(workspace);
		if (bucket == null) {
			return ADMIT;
		}
		refresh(nowMillis);
		if (!bucket.tryTake(this.group, this.random.nextDouble(), nowMillis)) {
			return new UsageDecision.Reject(bucket.reject(this.group, this.random.nextDouble(), nowMillis));
		}
		markChanged(bucket);
		return ADMIT;
	}

	/**
	 * Returns the cost of a request that was admitted and has not run.
	 * @param workspace the workspace, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void giveBack(WorkspaceId workspace, long nowMillis) {
		UsageBucket bucket = this.buckets.get(workspace);
		if (bucket != null && bucket.getAdmitted() != 0) {
			refresh(nowMillis);
			bucket.giveBack(this.group, nowMillis);
			markChanged(bucket);
		}
	}

	private void markChanged(UsageBucket bucket) {
		this.changed.remove(bucket);
		this.changed.add(bucket);
	}

	/**
	 * Replaces the registered hosts; before the first call, this host has no portion of
	 * the rates. Hosts count from their registration, and hosts that are no longer
	 * registered until they are silent.
	 * @param registered the incarnations of the other hosts, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void setMembers(Map<HostId, Long> registered, long nowMillis) {
		registered.forEach((host, started) -> findOrAdd(host, started, nowMillis));
		this.members.entrySet()
			.removeIf((entry) -> !registered.containsKey(entry.getKey())
					&& entry.getValue().getState() == UsageMember.State.ABSENT);
		check(nowMillis);
		if (!this.group.isKnown()) {
			this.group.setKnown();
			this.buckets.values().forEach((bucket) -> bucket.addFirstToken(this.group));
		}
	}

	private UsageMember findOrAdd(HostId host, long started, long nowMillis) {
		return this.members.computeIfAbsent(host,
				(key) -> new UsageMember(started, started > this.incarnation, nowMillis));
	}

	/**
	 * Records a datagram of another host, before its entries are applied.
	 * @param host the host, not null
	 * @param started its incarnation; earlier ones than the known one are ignored
	 * @param leaving whether it is shutting down
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void heard(HostId host, long started, boolean leaving, long nowMillis) {
		UsageMember member = findOrAdd(host, started, nowMillis);
		if (started < member.getIncarnation()) {
			return;
		}
		recordActive(nowMillis);
		this.group.accrueOwn(nowMillis);
		boolean restarted = started > member.getIncarnation();
		if (member.getState() == UsageMember.State.CONTRIBUTING
				&& (restarted || member.getSilenceMillis(nowMillis) > SILENCE_MILLIS)) {
			detach(member);
		}
		if (restarted) {
			member.restart(started);
			member.setState(UsageMember.State.ABSENT);
		}
		boolean shortSilence = !restarted && member.isEverHeard()
				&& member.getSilenceMillis(nowMillis) <= SHORT_SILENCE_MILLIS;
		switch (member.getState()) {
			case CONTRIBUTING -> this.group.accrue(member.takeUnaccrued(nowMillis));
			case ABSENT -> {
				if (shortSilence) {
					attachFrozen(member, nowMillis);
				}
				else {
					member.setState(UsageMember.State.RETURNING);
					member.setReturned(nowMillis);
					this.reportsDue.put(host, new DueReport(REPORT_REPETITIONS, nowMillis));
				}
			}
			case RETURNING -> {
				if (nowMillis - member.getReturnedMillis() > REPORT_WAIT_MILLIS) {
					attachFrozen(member, nowMillis);
				}
			}
		}
		member.recordHeard(leaving, nowMillis);
	}

	/**
	 * Applies what a host reports, in the order of its datagrams. Entries of workspaces
	 * without a limit are ignored.
	 * @param host the host, which has been heard, not null
	 * @param started its incarnation
	 * @param entries the entries, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void apply(HostId host, long started, List<UsageEntry> entries, long nowMillis) {
		UsageMember member = this.members.get(host);
		if (member == null || member.getIncarnation() != started || !isActive()) {
			return;
		}
		this.group.accrueOwn(nowMillis);
		boolean report = entries.stream().anyMatch((entry) -> entry.portion().isPresent());
		if (member.getState() == UsageMember.State.RETURNING) {
			if (!report) {
				return;
			}
			attach(member, nowMillis);
			member.getFrozen().clear();
		}
		boolean adopting = nowMillis - member.getReturnedMillis() <= REPORT_WAIT_MILLIS;
		for (UsageEntry entry : entries) {
			UsageBucket bucket = this.bucketsByHash.get(entry.workspace());
			if (bucket == null) {
				continue;
			}
			int added = member.update(entry.workspace(), entry.admitted());
			if (adopting && entry.portion().isPresent() && member.getAdopted().add(entry.workspace())) {
				bucket.addShare(entry.portion().getAsDouble(), this.group);
			}
			else if (added != 0) {
				bucket.charge(added, this.group);
			}
		}
	}

	/**
	 * Returns the entries of the next datagram to any host: recent changes.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the entries without levels, never null
	 */
	public List<UsageEntry> getChanges(long nowMillis) {
		if (this.changed.isEmpty()) {
			return List.of();
		}
		List<UsageEntry> entries = new ArrayList<>();
		this.changed
			.removeIf((bucket) -> nowMillis - bucket.getChangedMillis() > SEND_PERIODS[SEND_PERIODS.length - 1][1]);
		for (UsageBucket bucket : this.changed) {
			long age = nowMillis - bucket.getChangedMillis();
			for (long[] period : SEND_PERIODS) {
				if (age >= period[0] && age <= period[1]) {
					entries.add(new UsageEntry(bucket.getHash(), bucket.getAdmitted(), OptionalDouble.empty()));
				}
			}
		}
		return entries;
	}

	/**
	 * Returns the hosts to which all levels are to be sent now, and counts that as done.
	 * Hosts get them several times when they have started or were silent.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the hosts, never null
	 */
	public Collection<HostId> takeReportsDue(long nowMillis) {
		if (this.reportsDue.isEmpty()) {
			return List.of();
		}
		List<HostId> hosts = new ArrayList<>();
		this.reportsDue.replaceAll((host, due) -> {
			if (nowMillis < due.atMillis()) {
				return due;
			}
			hosts.add(host);
			return new DueReport(due.remaining() - 1, nowMillis + REPORT_INTERVAL_MILLIS);
		});
		this.reportsDue.values().removeIf((due) -> due.remaining() == 0);
		return isActive() ? hosts : List.of();
	}

	/**
	 * Returns all entries, with levels.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the entries of all limited workspaces, never null
	 */
	public List<UsageEntry> getReport(long nowMillis) {
		refresh(nowMillis);
		List<UsageEntry> entries = new ArrayList<>();
		for (UsageBucket bucket : this.buckets.values()) {
			bucket.settle(this.group);
			entries.add(new UsageEntry(bucket.getHash(), bucket.getAdmitted(),
					OptionalDouble.of(bucket.getLevel() / this.group.getContributors())));
		}
		return entries;
	}

	/**
	 * Returns the number of hosts among which the rates are divided.
	 * @return the number, at least 1
	 */
	public int getGroupSize() {
		return this.group.getSize();
	}

	private void refresh(long nowMillis) {
		if (nowMillis != this.checkedMillis) {
			check(nowMillis);
		}
	}

	// Detaches silent hosts, and counts those that share the rate.
	private void check(long nowMillis) {
		recordActive(nowMillis);
		this.checkedMillis = nowMillis;
		this.group.accrueOwn(nowMillis);
		int size = 1;
		double withheld = 0;
		double withheldSilence = 0;
		for (UsageMember member : this.members.values()) {
			long silence = member.getSilenceMillis(nowMillis);
			if (nowMillis < this.graceEndMillis && member.getState() == UsageMember.State.CONTRIBUTING) {
				silence = 0;
			}
			if (member.getState() != UsageMember.State.ABSENT && silence > SILENCE_MILLIS) {
				if (member.getState() == UsageMember.State.CONTRIBUTING) {
					detach(member);
				}
				member.setState(UsageMember.State.ABSENT);
			}
			boolean absent = member.getState() == UsageMember.State.ABSENT;
			if (!absent || (silence <= RETENTION_MILLIS && !member.isLeaving())) {
				size++;
			}
			if (member.getState() == UsageMember.State.CONTRIBUTING) {
				double part = Math.max(0, silence - FRESH_MILLIS) / (double) (SILENCE_MILLIS - FRESH_MILLIS);
				withheld += part;
				withheldSilence += part * silence;
			}
		}
		this.group.setSize(size);
		this.group.setWithheld(withheld, nowMillis - Math.round(withheldSilence / Math.max(withheld, 1e-9)));
	}

	// After a longer delay, other hosts have counted this one as silent.
	private void recordActive(long nowMillis) {
		long delay = nowMillis - this.activeMillis;
		if (delay > DELAY_MILLIS && delay <= SHORT_SILENCE_MILLIS) {
			this.graceEndMillis = nowMillis + DELAY_GRACE_MILLIS;
		}
		this.activeMillis = nowMillis;
	}

	private void detach(UsageMember member) {
		this.buckets.values().forEach((bucket) -> {
			double share = bucket.removeShare(this.group, member.getHeardMillis());
			member.getFrozen().put(bucket.getHash(), share);
		});
		this.group.detach();
		member.setState(UsageMember.State.ABSENT);
	}

	// Returns what was removed when the host fell silent, with its portion since then.
	private void attachFrozen(UsageMember member, long nowMillis) {
		long silence = Math.min(member.isEverHeard() ? member.takeUnaccrued(nowMillis) : 0, RETENTION_MILLIS);
		attach(member, nowMillis);
		this.buckets.values().forEach((bucket) -> {
			double frozen = member.getFrozen().getOrDefault(bucket.getHash(), 0.0);
			bucket.addShare(frozen + bucket.getAccrual(silence, this.group), this.group);
		});
		member.getFrozen().clear();
	}

	private void attach(UsageMember member, long nowMillis) {
		this.buckets.values().forEach((bucket) -> bucket.settle(this.group));
		this.group.attach();
		member.takeUnaccrued(nowMillis);
		member.setState(UsageMember.State.CONTRIBUTING);
	}

	private record DueReport(int remaining, long atMillis) {

	}

}
