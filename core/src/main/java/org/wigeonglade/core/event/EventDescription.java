package org.wigeonglade.core.event;

import java.lang.System.Logger.Level;
import java.util.List;

/**
 * Catalogue entry of a log event. Immutable.
 *
 * @param number the stable number, unique in the system, from 1000 to 9999
 * @param level the severity
 * @param text one plain sentence without field values
 * @param fields the names of the fields that the event carries, in order
 */
public record EventDescription(int number, Level level, String text, List<String> fields) {

	/**
	 * Creates the description with a copy of the fields.
	 */
	public EventDescription {
		fields = List.copyOf(fields);
	}

	/**
	 * Returns a description.
	 * @param number the stable number, unique in the system, from 1000 to 9999
	 * @param level the severity, not null
	 * @param text one plain sentence without field values, not null
	 * @param fields the names of the fields, not null
	 * @return a description, never null
	 */
	public static EventDescription of(int number, Level level, String text, String... fields) {
		return new EventDescription(number, level, text, List.of(fields));
	}

}
