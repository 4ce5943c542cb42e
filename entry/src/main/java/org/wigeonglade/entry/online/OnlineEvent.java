package org.wigeonglade.entry.online;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Events of the online path and of the batch dispatcher.
 */
enum OnlineEvent implements LogEvent {

	/** A runner failed a request. */
	UPSTREAM_FAILED(2101, Level.WARNING, "runner failed a request", "request_id", "upstream", "code", "crashed",
			"tokens"),

	/** A fingerprint was in flight on a runner that crashed. */
	SUSPECTED(2102, Level.WARNING, "request is suspected of crashing its runner", "fingerprint", "crashed"),

	/** A fingerprint was quarantined. */
	QUARANTINED(2103, Level.ERROR, "request crashed two runners and is quarantined", "fingerprint", "reason"),

	/** A suspected request ran in isolation without a crash. */
	CLEARED(2104, Level.INFO, "suspected request completed in isolation without a crash", "fingerprint"),

	/** A request was sent to another failure domain. */
	SPILLED(2105, Level.DEBUG, "request was sent to another failure domain", "request_id", "upstream"),

	/** A quarantine could not be written to the control stream. */
	QUARANTINE_NOT_RECORDED(2106, Level.WARNING, "quarantine could not be written to the control stream",
			"fingerprint"),

	/** Batch items could not be requested or their outcomes not be reported. */
	WORK_EXCHANGE_FAILED(2107, Level.WARNING, "request or report to the owners of batch work failed", "upstream"),

	/** A task of an event loop threw an unexpected exception. */
	TASK_FAILED(2108, Level.ERROR, "unexpected exception in a task of an event loop", "task"),

	/** Batch items were stopped in favor of online requests. */
	PREEMPTED(2109, Level.DEBUG, "batch streams were preempted", "upstream", "count");

	private final EventDescription description;

	OnlineEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
