package org.wigeonglade.gateway.workspace;

/**
 * The hosts over which the usage of workspaces is limited, as one host sees them: how
 * many there are, and how many of them contribute their portions of the rate and of the
 * burst. Tokens accrue by the sum of the portions, so the time that has accrued is kept
 * once for all workspaces. Not thread-safe.
 */
final class UsageGroup {

	private int size = 1;

	private int contributors = 1;

	private double confidence = 1;

	private double accruedMillis;

	private long ownMillis;

	UsageGroup(long nowMillis) {
		this.ownMillis = nowMillis;
	}

	/**
	 * Returns the number of hosts.
	 * @return the number, at least 1 with this host
	 */
	int getSize() {
		return this.size;
	}

	/**
	 * Returns the number of hosts that contribute.
	 * @return the number, at least 1 with this host
	 */
	int getContributors() {
		return this.contributors;
	}

	/**
	 * Returns the share of the rate and of the burst that the contributing hosts have.
	 * @return a share, at most 1
	 */
	double getShare() {
		return (double) this.contributors / this.size;
	}

	/**
	 * Returns the share of the stored tokens that may be used now: it decreases while
	 * contributing hosts are silent, before they are detached.
	 * @return a share, more than 0, at most 1
	 */
	double getConfidence() {
		return this.confidence;
	}

	/**
	 * Returns the time for which the whole rate has accrued.
	 * @return the time in milliseconds
	 */
	double getAccruedMillis() {
		return this.accruedMillis;
	}

	void accrueOwn(long nowMillis) {
		accrue(nowMillis - this.ownMillis);
		this.ownMillis = nowMillis;
	}

	void accrue(long millis) {
		this.accruedMillis += (double) millis / this.size;
	}

	void setSize(int hosts) {
		this.size = Math.max(hosts, this.contributors);
	}

	void setConfidence(double heardContributors) {
		this.confidence = heardContributors / this.contributors;
	}

	void attach() {
		this.contributors++;
		this.size = Math.max(this.size, this.contributors);
	}

	void detach() {
		this.contributors--;
	}

}
