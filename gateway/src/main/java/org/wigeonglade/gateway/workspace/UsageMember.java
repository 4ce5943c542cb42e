package org.wigeonglade.gateway.workspace;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What this host knows of another one whose usage counts. Not thread-safe.
 */
final class UsageMember {

	// Last reported counters of admitted requests, by workspace.
	private final Map<Long, Integer> admitted = new HashMap<>();

	// Shares of the stored tokens that were removed when the host became silent.
	private final Map<Long, Double> frozen = new HashMap<>();

	// Workspaces whose level was adopted since the host was heard again.
	private final Set<Long> adopted = new HashSet<>();

	private long incarnation;

	private boolean countedFromStart;

	private State state = State.ABSENT;

	private boolean leaving;

	private boolean everHeard;

	private long heardMillis;

	private long heardAccruedMillis;

	private long returnedMillis;

	UsageMember(long incarnation, boolean startedLater, long nowMillis) {
		this.incarnation = incarnation;
		this.countedFromStart = startedLater;
		this.heardMillis = nowMillis;
	}

	Map<Long, Double> getFrozen() {
		return this.frozen;
	}

	Set<Long> getAdopted() {
		return this.adopted;
	}

	long getIncarnation() {
		return this.incarnation;
	}

	State getState() {
		return this.state;
	}

	void setState(State next) {
		this.state = next;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	boolean isEverHeard() {
		return this.everHeard;
	}

	long getSilenceMillis(long nowMillis) {
		return nowMillis - this.heardMillis;
	}

	long getHeardMillis() {
		return this.heardMillis;
	}

	long getReturnedMillis() {
		return this.returnedMillis;
	}

	void setReturned(long nowMillis) {
		this.returnedMillis = nowMillis;
		this.adopted.clear();
	}

	// Time for which the portion of the host has not accrued yet.
	long takeUnaccrued(long nowMillis) {
		long millis = nowMillis - this.heardAccruedMillis;
		this.heardAccruedMillis = nowMillis;
		return millis;
	}

	void recordHeard(boolean isLeaving, long nowMillis) {
		this.everHeard = true;
		this.leaving = isLeaving;
		this.heardMillis = nowMillis;
	}

	// The counters of the new process start at 0, and this host has seen all of them.
	void restart(long next) {
		this.incarnation = next;
		this.countedFromStart = true;
		this.admitted.clear();
		this.frozen.clear();
	}

	// Returns the requests admitted since the previous report.
	int update(long workspace, int count) {
		Integer before = this.admitted.put(workspace, count);
		if (before != null) {
			return count - before;
		}
		// What was admitted before this host started is not charged at once.
		return this.countedFromStart ? count : Math.clamp(count, 0, 1);
	}

	/**
	 * Whether the portions of the host are part of the buckets.
	 */
	enum State {

		/** Silent; its shares are withheld. */
		ABSENT,

		/** Heard after a long silence or a start; its levels are awaited. */
		RETURNING,

		/** Its portion accrues with its datagrams. */
		CONTRIBUTING

	}

}
