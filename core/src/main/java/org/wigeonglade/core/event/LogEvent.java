package org.wigeonglade.core.event;

import java.lang.System.Logger.Level;

/**
 * Event of the structured log. Each package with events has one enum that implements this
 * interface; {@code docs/events.md} lists all of them.
 */
public interface LogEvent {

	/**
	 * Returns the catalogue entry of the event.
	 * @return the description, never null
	 */
	EventDescription getDescription();

	/**
	 * Returns the stable number, unique in the system.
	 * @return a number from 1000 to 9999
	 */
	default int getNumber() {
		return getDescription().number();
	}

	/**
	 * Returns the severity.
	 * @return the level, never null
	 */
	default Level getLevel() {
		return getDescription().level();
	}

	/**
	 * Returns the message without field values.
	 * @return one plain sentence, never null
	 */
	default String getText() {
		return getDescription().text();
	}

	/**
	 * Returns the names of the fields that the event carries, in order.
	 * @return the names, never null
	 */
	default String[] getFields() {
		return getDescription().fields().toArray(String[]::new);
	}

}
