package org.wigeonglade.entry.host;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the life cycle of an entry host.
 */
enum HostEvent implements LogEvent {

	/** The host has opened its listeners. */
	STARTED(1101, Level.INFO, "host started", "host", "caller_port", "peer_port", "operator_port"),

	/** A planned stop has begun. */
	STOPPING(1102, Level.INFO, "planned stop began", "host", "in_progress"),

	/** A planned stop has ended. */
	STOPPED(1103, Level.INFO, "host stopped", "host", "interrupted"),

	/** The host was terminated without a handover. */
	KILLED(1104, Level.WARNING, "host terminated without a planned stop", "host", "interrupted"),

	/** A component failed to stop or did not stop in time. */
	STOP_FAILED(1105, Level.WARNING, "component of the host did not stop cleanly", "host", "part"),

	/** A second signal terminates the process during a planned stop. */
	ENDED_BY_SIGNAL(1106, Level.ERROR, "second signal received; terminating the process immediately", "host",
			"interrupted");

	private final EventDescription description;

	HostEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
