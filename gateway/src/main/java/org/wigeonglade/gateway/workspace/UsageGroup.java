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

	private double withheldHosts;

	private long withheldSinceMillis;

	private boolean known;

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
	 * Returns how many contributing hosts have been silent for so long that their stored
	 * tokens are not used; the longer a host is silent, the larger the part of it that
	 * counts.
	 * @return the number, at least 0
	 */
	double getWithheldHosts() {
		return this.withheldHosts;
	}

	/**
	 * Returns the time of the last datagrams of the withheld hosts.
	 * @return the mean of the monotonic times in milliseconds
	 */
	long getWithheldSinceMillis() {
		return this.withheldSinceMillis;
	}

	/**
	 * Returns the time up to which the portion of this host has accrued.
	 * @return the monotonic time in milliseconds
	 */
	long getNowMillis() {
		return this.ownMillis;
	}

	/**
	 * Returns the time for which the whole rate has accrued.
	 * @return the time in milliseconds
	 */
	double getAccruedMillis() {
		return this.accruedMillis;
	}

	/**
	 * Returns whether the hosts are known. Until then this host has no portion, or hosts
	 * that start together would each have the whole rate.
	 * @return true once the registrations have been read
	 */
	boolean isKnown() {
		return this.known;
	}

	void setKnown() {
		this.known = true;
	}

	void accrueOwn(long nowMillis) {
		if (this.known) {
			accrue(nowMillis - this.ownMillis);
		}
		this.ownMillis = nowMillis;
	}

	void accrue(long millis) {
		this.accruedMillis += (double) millis / this.size;
	}

	void setSize(int hosts) {
		this.size = Math.max(hosts, this.contributors);
	}

	void setWithheld(double hosts, long sinceMillis) {
		this.withheldHosts = hosts;
		this.withheldSinceMillis = sinceMillis;
	}

	void attach() {
		this.contributors++;
		this.size = Math.max(this.size, this.contributors);
	}

	void detach() {
		this.contributors--;
	}

}
