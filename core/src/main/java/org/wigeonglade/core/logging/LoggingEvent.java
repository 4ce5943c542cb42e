package org.wigeonglade.core.logging;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the log handler.
 */
public enum LoggingEvent implements LogEvent {

	/** Log lines were dropped by the rate limit or a full queue. */
	LINES_DROPPED(1901, Level.WARNING, "log lines were left out in the last second", "dropped_event", "count");

	private final EventDescription description;

	LoggingEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
