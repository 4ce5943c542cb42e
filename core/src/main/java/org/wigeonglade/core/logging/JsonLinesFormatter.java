package org.wigeonglade.core.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wigeonglade.core.event.LoggedEvent;

/**
 * Formats a record as one JSON object on one line, with one field for each figure of the
 * event. Figures come under {@code figures}, so that no name of a figure can hide another
 * field.
 */
public final class JsonLinesFormatter extends Formatter {

	private final ObjectMapper mapper = new ObjectMapper();

	@Override
	public String format(LogRecord record) {
		LoggedEvent event = TextFormatter.eventOf(record);
		Throwable cause = (event != null) ? event.cause() : record.getThrown();
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("time", record.getInstant().toString());
		line.put("level", TextFormatter.levelOf(record.getLevel()));
		line.put("logger", record.getLoggerName());
		if (event != null) {
			line.put("event", "WGE-" + event.event().getNumber());
			line.put("message", event.event().getText());
			Map<String, Object> figures = new LinkedHashMap<>();
			event.getFigures().forEach((name, value) -> figures.put(name, plain(value)));
			line.put("figures", figures);
		}
		else {
			line.put("message", formatMessage(record));
		}
		if (cause != null) {
			line.put("cause", cause.toString());
			if (record.getLevel().intValue() >= Level.SEVERE.intValue()) {
				line.put("stack", TextFormatter.stackOf(cause));
			}
		}
		try {
			return this.mapper.writeValueAsString(line) + "\n";
		}
		catch (JsonProcessingException ex) {
			return "{\"level\":\"ERROR\",\"message\":\"a log record cannot be written as JSON\"}\n";
		}
	}

	private static Object plain(Object value) {
		return (value == null || value instanceof Number || value instanceof Boolean) ? value : value.toString();
	}

}
