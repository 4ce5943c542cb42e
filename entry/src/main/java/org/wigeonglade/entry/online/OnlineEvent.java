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

	/** A suspect ran alone without a crash. */
	CLEARED(2104, Level.INFO, "suspected request was answered by a runner on its own", "fingerprint"),

	/** A request was sent to another failure domain. */
	SPILLED(2105, Level.DEBUG, "request was sent to another failure domain", "request_id", "upstream"),

	/** The quarantine could not be recorded. */
	QUARANTINE_NOT_RECORDED(2106, Level.WARNING, "quarantine could not be written to the control stream",
			"fingerprint"),

	/** Work could not be requested or reported. */
	WORK_EXCHANGE_FAILED(2107, Level.WARNING, "exchange with the owners of batch work failed", "upstream"),

	/** An unexpected failure ended a task of the event loop. */
	TASK_FAILED(2108, Level.ERROR, "unexpected failure in the online path", "task"),

	/** Batch work was stopped for online work. */
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
