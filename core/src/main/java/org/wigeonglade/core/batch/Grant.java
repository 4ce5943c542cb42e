package org.wigeonglade.core.batch;

/**
 * One item that is lent to a dispatcher.
 */
final class Grant {

	private final long id;

	private final JobQueue queue;

	private final int index;

	private final boolean suspect;

	private final double charged;

	private String customId = "";

	private long leaseEndMillis;

	Grant(long id, JobQueue queue, int index, boolean suspect, double charged) {
		this.id = id;
		this.queue = queue;
		this.index = index;
		this.suspect = suspect;
		this.charged = charged;
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

	double getCharged() {
		return this.charged;
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
