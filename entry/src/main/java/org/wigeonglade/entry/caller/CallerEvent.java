package org.wigeonglade.entry.caller;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the HTTP API for callers.
 */
enum CallerEvent implements LogEvent {

	/** A request failed with an unexpected exception. */
	INTERNAL(2001, Level.ERROR, "unexpected failure while handling a request", "request_id"),

	/** A client closed the connection before its response was complete. */
	CLIENT_GONE(2002, Level.DEBUG, "client closed the connection before the response was complete", "request_id"),

	/** A connection was closed because the connection limit was reached. */
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
