package org.wigeonglade.core.account;

/**
 * Kinds of events of the account. The number is kept in records and never reused.
 */
public enum AccountCode {

	/** Work was accepted. */
	ACCEPTED(1),

	/** Work was sent to an upstream. */
	STARTED(2),

	/** Work was answered in full. */
	COMPLETED(3),

	/** Work ended without a result. */
	FAILED(4),

	/** Batch work was stopped to make room for online work. */
	PREEMPTED(5),

	/** Work waited for capacity. */
	QUEUED(6),

	/** Work was tried again. */
	RETRIED(7),

	/** Work was refused before it ran. */
	REFUSED(8),

	/** A fingerprint was quarantined. */
	QUARANTINED(9),

	/** Work was cancelled. */
	CANCELLED(10),

	/** A partition was taken over. */
	TAKEN_OVER(11),

	/** A partition or placement was released. */
	HANDED_OVER(12),

	/** A configuration was accepted. */
	CONFIG_ACCEPTED(13),

	/** A configuration came into force on a host. */
	CONFIG_APPLIED(14),

	/** A configuration change lost a race. */
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

	/** A command was given to an engine. */
	COMMAND_SENT(23),

	/** An online request was answered by a resumed stream. */
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
	 * Returns the stable number.
	 * @return a number from 1
	 */
	public int getNumber() {
		return this.number;
	}

}
