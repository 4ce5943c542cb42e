package org.wigeonglade.core.event;

import java.lang.System.Logger;
import java.util.ResourceBundle;

/**
 * Writes numbered events through {@link System.Logger}. A line holds the number, the text
 * and {@code name=value} pairs in the order of the catalogue; the record also carries a
 * {@link LoggedEvent} for formatters. Thread-safe.
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
		LoggedEvent logged = new LoggedEvent(event, values, cause);
		this.logger.log(event.getLevel(), (ResourceBundle) null, format(logged), logged);
	}

	static String format(LoggedEvent logged) {
		LogEvent event = logged.event();
		StringBuilder line = new StringBuilder();
		line.append("WGE-").append(event.getNumber()).append(' ').append(event.getText());
		logged.getFieldValues().forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
		if (logged.cause() != null) {
			line.append(" cause=").append(logged.cause());
		}
		// A backend that formats messages would parse braces as placeholders.
		return line.toString().replace("{", "(").replace("}", ")").replace('\n', ' ').replace('\r', ' ');
	}

}
