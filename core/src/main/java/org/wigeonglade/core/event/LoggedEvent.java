package org.wigeonglade.core.event;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parameter of a log record that carries the event, so that a formatter can write one
 * field for each figure. The values are not copied and must not be changed.
 *
 * @param event the event
 * @param values one value for each field of the event, may hold nulls
 * @param cause the cause, or null
 */
public record LoggedEvent(LogEvent event, Object[] values, Throwable cause) {

	/**
	 * Returns the figures by field name, in the order of the catalogue.
	 * @return the figures; a missing value is null
	 */
	public Map<String, Object> getFigures() {
		Map<String, Object> figures = new LinkedHashMap<>();
		String[] fields = this.event.getFields();
		for (int i = 0; i < fields.length; i++) {
			figures.put(fields[i], (i < this.values.length) ? this.values[i] : null);
		}
		return figures;
	}

}
