package org.wigeonglade.core.event;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Event with the values of its fields, carried as parameter of a log record, so that a
 * formatter can write each field. The values are not copied and must not be modified.
 *
 * @param event the event
 * @param values one value for each field of the event, may hold nulls
 * @param cause the cause, or null
 */
public record LoggedEvent(LogEvent event, Object[] values, Throwable cause) {

	/**
	 * Returns the values by field name, in the order of the catalogue.
	 * @return the values; a missing one is null
	 */
	public Map<String, Object> getFieldValues() {
		Map<String, Object> fieldValues = new LinkedHashMap<>();
		String[] fields = this.event.getFields();
		for (int i = 0; i < fields.length; i++) {
			fieldValues.put(fields[i], (i < this.values.length) ? this.values[i] : null);
		}
		return fieldValues;
	}

}
