package org.wigeonglade.core.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.wigeonglade.core.event.LoggedEvent;

/**
 * Formats a record as one line of text: time, level, message and field values. The stack
 * trace of a cause is written for errors only.
 */
public final class TextFormatter extends Formatter {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'")
		.withZone(ZoneOffset.UTC);

	@Override
	public String format(LogRecord record) {
		LoggedEvent event = eventOf(record);
		Throwable cause = (event != null) ? event.cause() : record.getThrown();
		StringBuilder line = new StringBuilder();
		line.append(TIME.format(record.getInstant())).append(' ').append(levelOf(record.getLevel())).append(' ');
		if (event != null) {
			line.append("WGE-").append(event.event().getNumber()).append(' ').append(event.event().getText());
			event.getFieldValues()
				.forEach((name, value) -> line.append(' ').append(name).append('=').append(oneLine(value)));
		}
		else {
			line.append(record.getLoggerName()).append(": ").append(oneLine(formatMessage(record)));
		}
		if (cause != null) {
			line.append(" cause=").append(oneLine(cause));
		}
		line.append('\n');
		if (cause != null && record.getLevel().intValue() >= Level.SEVERE.intValue()) {
			line.append(stackOf(cause));
		}
		return line.toString();
	}

	static LoggedEvent eventOf(LogRecord record) {
		Object[] parameters = record.getParameters();
		return (parameters != null && parameters.length == 1 && parameters[0] instanceof LoggedEvent event) ? event
				: null;
	}

	static String levelOf(Level level) {
		if (level.intValue() >= Level.SEVERE.intValue()) {
			return "ERROR";
		}
		if (level.intValue() >= Level.WARNING.intValue()) {
			return "WARNING";
		}
		if (level.intValue() >= Level.INFO.intValue()) {
			return "INFO";
		}
		return (level.intValue() >= Level.FINE.intValue()) ? "DEBUG" : "TRACE";
	}

	static String stackOf(Throwable cause) {
		StringWriter stack = new StringWriter();
		cause.printStackTrace(new PrintWriter(stack));
		return stack.toString();
	}

	private static String oneLine(Object value) {
		return String.valueOf(value).replace('\n', ' ').replace('\r', ' ');
	}

}
