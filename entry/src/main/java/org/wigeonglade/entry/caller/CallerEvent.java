package org.wigeonglade.entry.caller;

import java.lang.System.Logger.Level;

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

	private final int number;

	private final Level level;

	private final String text;

	private final String[] fields;

	CallerEvent(int number, Level level, String text, String... fields) {
		this.number = number;
		this.level = level;
		this.text = text;
		this.fields = fields;
	}

	@Override
	public int getNumber() {
		return this.number;
	}

	@Override
	public Level getLevel() {
		return this.level;
	}

	@Override
	public String getText() {
		return this.text;
	}

	@Override
	public String[] getFields() {
		return this.fields.clone();
	}

}
