package org.wigeonglade.core.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.wigeonglade.core.event.LoggedEvent;

/**
 * Formats a record as one JSON object in ASCII on one line. The fields of an event are
 * written under {@code figures}, so that their names cannot clash with those of the
 * record.
 */
public final class JsonLinesFormatter extends Formatter {

	/** Some readers of lines end a line at other characters than a line feed. */
	private final ObjectMapper mapper = JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

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
			Map<String, Object> fieldValues = new LinkedHashMap<>();
			event.getFieldValues().forEach((name, value) -> fieldValues.put(name, toJsonValue(value)));
			line.put("figures", fieldValues);
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

	private static Object toJsonValue(Object value) {
		return (value == null || value instanceof Number || value instanceof Boolean) ? value : value.toString();
	}

}
