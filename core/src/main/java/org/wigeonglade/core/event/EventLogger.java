package org.wigeonglade.core.event;

import java.lang.System.Logger;

/**
 * Writes numbered events through {@link System.Logger}. A line holds the number, the text
 * and {@code name=value} pairs in the order of the catalogue. Thread-safe.
 */
public final class EventLogger {

	private final Logger logger;

	private EventLogger(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the logger of a class.
	 * @param type the class, not null
	 * @return a logger, never null
	 */
	public static EventLogger of(Class<?> type) {
		return new EventLogger(System.getLogger(type.getName()));
	}

	/**
	 * Writes an event.
	 * @param event the event, not null
	 * @param values one value for each field of the event, may hold nulls
	 */
	public void log(LogEvent event, Object... values) {
		log(event, (Throwable) null, values);
	}

	/**
	 * Writes an event with its cause.
	 * @param event the event, not null
	 * @param cause the cause, or null
	 * @param values one value for each field of the event, may hold nulls
	 */
	public void log(LogEvent event, Throwable cause, Object... values) {
		if (!this.logger.isLoggable(event.getLevel())) {
			return;
		}
		this.logger.log(event.getLevel(), () -> format(event, values), cause);
	}

	static String format(LogEvent event, Object... values) {
		StringBuilder line = new StringBuilder();
		line.append("WGE-").append(event.getNumber()).append(' ').append(event.getText());
		String[] fields = event.getFields();
		for (int i = 0; i < fields.length; i++) {
			Object value = (i < values.length) ? values[i] : null;
			line.append(' ').append(fields[i]).append('=').append(value);
		}
		return line.toString();
	}

}
