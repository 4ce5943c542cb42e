package org.wigeonglade.core.batch;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the batch subsystem.
 */
public enum BatchEvent implements LogEvent {

	/** This host became the owner of a partition. */
	TAKEN_OVER(4001, Level.INFO, "partition taken over", "partition", "term", "jobs", "open_items"),

	/** This host released a partition. */
	RELEASED(4002, Level.INFO, "partition released", "partition", "term"),

	/** A newer claim ended the ownership of this host. */
	OWNERSHIP_LOST(4003, Level.WARNING,
			"partition ownership lost to a newer claim; its grants on this host are discarded", "partition", "term",
			"new_owner", "new_term"),

	/** A log entry was ignored on replay. */
	ENTRY_IGNORED(4004, Level.DEBUG, "log entry ignored", "partition", "offset", "kind", "reason"),

	/** Records expired before a snapshot covered them. */
	HISTORY_LOST(4005, Level.ERROR, "records expired before any snapshot covered them; older jobs may be missing",
			"partition", "oldest_offset"),

	/** All entries of a snapshot were appended. */
	SNAPSHOT_WRITTEN(4006, Level.DEBUG, "snapshot written", "partition", "covers_offset", "entries"),

	/** Records that are still referenced were appended again before they expire. */
	RECORDS_REAPPENDED(4007, Level.DEBUG, "records that are still referenced were appended again before their expiry",
			"partition", "records"),

	/** The record of an item body or result expired while still referenced. */
	RECORD_EXPIRED(4008, Level.ERROR, "a record that is still referenced has expired", "partition", "offset"),

	/** The last read of the partition stream failed. */
	LOG_UNAVAILABLE(4009, Level.WARNING, "log service is unavailable; the partition is not claimed during the outage",
			"partition"),

	/** A read of the partition stream succeeded after an outage. */
	LOG_AVAILABLE(4010, Level.INFO, "log service is reachable again", "partition"),

	/** A record cannot be decoded. */
	RECORD_INVALID(4012, Level.ERROR, "log record cannot be decoded and is skipped", "partition", "records"),

	/** A maintenance task of a partition or a task of an executor failed. */
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
