package org.wigeonglade.core.event;

import java.lang.System.Logger.Level;

/**
 * Event of the structured log. Each package with events has one enum that implements this
 * interface; {@code docs/events.md} lists all of them.
 */
public interface LogEvent {

	/**
	 * Returns the stable number, unique in the system.
	 * @return a number from 1000 to 9999
	 */
	int getNumber();

	/**
	 * Returns the severity.
	 * @return the level, never null
	 */
	Level getLevel();

	/**
	 * Returns the message without figures.
	 * @return one plain sentence, never null
	 */
	String getText();

	/**
	 * Returns the names of the fields that the event carries, in order.
	 * @return the names, never null
	 */
	String[] getFields();

}
