package org.wigeonglade.core.batch;

/**
 * Lease of one item to a dispatcher. Confined to the executor of the partition.
 */
final class Grant {

	private final long id;

	private final JobQueue queue;

	private final int index;

	private final boolean suspect;

	private final double chargedTokens;

	private String customId = "";

	private long leaseEndMillis;

	Grant(long id, JobQueue queue, int index, boolean suspect, double chargedTokens) {
		this.id = id;
		this.queue = queue;
		this.index = index;
		this.suspect = suspect;
		this.chargedTokens = chargedTokens;
	}

	long getId() {
		return this.id;
	}

	JobQueue getQueue() {
		return this.queue;
	}

	JobState getJob() {
		return this.queue.getJob();
	}

	int getIndex() {
		return this.index;
	}

	boolean isSuspect() {
		return this.suspect;
	}

	double getChargedTokens() {
		return this.chargedTokens;
	}

	String getCustomId() {
		return this.customId;
	}

	void setCustomId(String customId) {
		this.customId = customId;
	}

	long getLeaseEndMillis() {
		return this.leaseEndMillis;
	}

	void setLeaseEndMillis(long leaseEndMillis) {
		this.leaseEndMillis = leaseEndMillis;
	}

}
