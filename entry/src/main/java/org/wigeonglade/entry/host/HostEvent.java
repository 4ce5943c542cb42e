package org.wigeonglade.entry.host;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Events of the life cycle of a host.
 */
enum HostEvent implements LogEvent {

	/** The host serves. */
	STARTED(1101, Level.INFO, "host started", "host", "caller_port", "peer_port", "operator_port"),

	/** A planned stop began. */
	STOPPING(1102, Level.INFO, "planned stop began", "host", "in_progress"),

	/** The host stopped after its requests were finished. */
	STOPPED(1103, Level.INFO, "host stopped", "host", "interrupted"),

	/** The host ended without a handover. */
	KILLED(1104, Level.WARNING, "host ended at once", "host", "interrupted"),

	/** A part could not be stopped in time. */
	STOP_FAILED(1105, Level.WARNING, "a part of the host did not stop cleanly", "host", "part"),

	/** A second signal ended the process during a planned stop. */
	ENDED_BY_SIGNAL(1106, Level.ERROR, "second signal ended the process at once", "host", "interrupted");

	private final EventDescription description;

	HostEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
