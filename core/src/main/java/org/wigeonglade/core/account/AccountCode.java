package org.wigeonglade.core.account;

/**
 * Kinds of account events. The number is stored in records and never reused.
 */
public enum AccountCode {

	/** Work was accepted. */
	ACCEPTED(1),

	/** Work was sent to an upstream. */
	STARTED(2),

	/** Work completed with a full response. */
	COMPLETED(3),

	/** Work ended without a result. */
	FAILED(4),

	/** Batch work was preempted by online work. */
	PREEMPTED(5),

	/** Work was queued for lack of capacity. */
	QUEUED(6),

	/** Work was retried. */
	RETRIED(7),

	/** Work was refused before it ran. */
	REFUSED(8),

	/** A fingerprint was quarantined. */
	QUARANTINED(9),

	/** Work was cancelled. */
	CANCELLED(10),

	/** A partition was taken over. */
	TAKEN_OVER(11),

	/** A partition or placement lease was released. */
	HANDED_OVER(12),

	/** A configuration was accepted. */
	CONFIG_ACCEPTED(13),

	/** A configuration took effect on a host. */
	CONFIG_APPLIED(14),

	/** A configuration change was rejected because a concurrent one came first. */
	CONFIG_CONFLICT(15),

	/** An upstream was lost. */
	UPSTREAM_LOST(16),

	/** An upstream is leaving. */
	UPSTREAM_LEAVING(17),

	/** A host was lost. */
	HOST_LOST(18),

	/** A host began a planned stop. */
	HOST_STOPPING(19),

	/** The platform became unreachable. */
	PLATFORM_LOST(20),

	/** The platform became reachable again. */
	PLATFORM_BACK(21),

	/** It is not known whether work ran. */
	OUTCOME_UNKNOWN(22),

	/** A command was sent to a runner. */
	COMMAND_SENT(23),

	/** An online request continued as a resumed stream on another runner. */
	RESUMED(24),

	/** A host started. */
	HOST_STARTED(25),

	/** The client closed its connection. */
	CLIENT_GONE(26),

	/** A configuration change was written to the log. */
	CONFIG_PROPOSED(27);

	private final int number;

	AccountCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number that is stored in records.
	 * @return a number from 1
	 */
	public int getNumber() {
		return this.number;
	}

}
