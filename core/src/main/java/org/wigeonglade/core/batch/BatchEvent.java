package org.wigeonglade.core.batch;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of batch work.
 */
public enum BatchEvent implements LogEvent {

	/** This host owns a partition from now on. */
	TAKEN_OVER(4001, Level.INFO, "partition taken over", "partition", "term", "jobs", "open_items"),

	/** This host released a partition. */
	RELEASED(4002, Level.INFO, "partition released", "partition", "term"),

	/** A newer claim or a release ended the ownership. */
	OWNERSHIP_LOST(4003, Level.WARNING, "partition is owned elsewhere; its state here is dropped", "partition", "term",
			"new_owner", "new_term"),

	/** An entry of the log had no effect. */
	ENTRY_VOID(4004, Level.DEBUG, "log entry has no effect", "partition", "offset", "kind", "reason"),

	/** Records expired before a snapshot covered them. */
	HISTORY_LOST(4005, Level.ERROR, "records expired before any snapshot covered them; older jobs may be missing",
			"partition", "oldest_offset"),

	/** A snapshot is durable. */
	SNAPSHOT_WRITTEN(4006, Level.DEBUG, "snapshot written", "partition", "covers_offset", "entries"),

	/** Records were appended again because they would expire. */
	RECORDS_CARRIED(4007, Level.DEBUG, "records that are still needed were appended again", "partition", "records"),

	/** A body or result expired although it was needed. */
	RECORD_EXPIRED(4008, Level.ERROR, "a record that is still needed has expired", "partition", "offset"),

	/** The log cannot be reached. */
	LOG_UNAVAILABLE(4009, Level.WARNING, "log service is unavailable; no partition is claimed", "partition"),

	/** The log can be reached again. */
	LOG_BACK(4010, Level.INFO, "log service is reachable again", "partition"),

	/** An item crashed a second upstream. */
	ITEM_QUARANTINED(4011, Level.WARNING, "item ended after the loss of two upstreams that ran it", "batch", "index"),

	/** A record cannot be decoded. */
	RECORD_INVALID(4012, Level.ERROR, "log record cannot be decoded and is skipped", "partition", "records"),

	/** A task of the runtime failed. */
	TASK_FAILED(4013, Level.ERROR, "task of the batch runtime failed", "partition", "task");

	private final EventDescription description;

	BatchEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
