package org.wigeonglade.entry.caller;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Events of the callers' interface.
 */
enum CallerEvent implements LogEvent {

	/** An unexpected failure reached the HTTP layer. */
	INTERNAL(2001, Level.ERROR, "unexpected failure while a request was handled", "request_id"),

	/** A client left before its answer was complete. */
	CLIENT_GONE(2002, Level.DEBUG, "client closed the connection before the answer was complete", "request_id"),

	/** A connection was refused because of the connection limit. */
	CONNECTION_LIMIT(2003, Level.WARNING, "connection refused: connection limit reached", "limit");

	private final EventDescription description;

	CallerEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
