package org.wigeonglade.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.common.reflect.ClassPath;
import org.wigeonglade.core.event.LogEvent;

/**
 * Finds all log events on the class path and writes them as the catalogue of
 * {@code docs/events.md}.
 */
final class EventCatalogue {

	private static final String HEAD = """
			# Log events

			All events of the structured log. The table is written by `bin/wigeonglade catalogue`; a test compares it
			with the code. The level says how severe an event is; the fields come in this order in a line.

			| number | level | text | fields |
			| --- | --- | --- | --- |
			""";

	private EventCatalogue() {
	}

	static List<LogEvent> findAll() {
		List<LogEvent> events = new ArrayList<>();
		try {
			for (ClassPath.ClassInfo info : ClassPath.from(EventCatalogue.class.getClassLoader())
				.getTopLevelClassesRecursive("org.wigeonglade")) {
				if (info.getName().contains(".generated.")) {
					continue;
				}
				Class<?> type = info.load();
				if (LogEvent.class.isAssignableFrom(type) && type.isEnum()) {
					for (Object constant : type.getEnumConstants()) {
						events.add((LogEvent) constant);
					}
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		events.sort(Comparator.comparingInt(LogEvent::getNumber));
		return events;
	}

	static String write() {
		StringBuilder page = new StringBuilder(HEAD);
		for (LogEvent event : findAll()) {
			String fields = (event.getFields().length == 0) ? "" : "`" + String.join("`, `", event.getFields()) + "`";
			page.append("| WGE-")
				.append(event.getNumber())
				.append(" | ")
				.append(event.getLevel())
				.append(" | ")
				.append(event.getText())
				.append(" | ")
				.append(fields)
				.append(" |\n");
		}
		return page.toString();
	}

}
