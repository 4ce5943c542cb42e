package org.wigeonglade.entry.operator;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Events of the operators' interface and the account.
 */
public enum OperatorEvent implements LogEvent {

	/** The operators' interface is ready. */
	LISTENING(7001, Level.INFO, "operators' interface is listening", "address", "tls"),

	/** A request failed unexpectedly. */
	REQUEST_FAILED(7002, Level.ERROR, "request of an operator failed unexpectedly", "path"),

	/** A certificate was read again. */
	CERTIFICATE_RELOADED(7003, Level.DEBUG, "certificate of the operators' interface was read again", "changed"),

	/** A certificate could not be read again. */
	CERTIFICATE_FAILED(7004, Level.WARNING,
			"certificate of the operators' interface could not be read again; the old one stays in use", "path"),

	/** A host did not answer a query. */
	QUERY_UNANSWERED(7005, Level.INFO, "host did not answer a query for the account", "host", "code"),

	/** Durable events could not be read. */
	RECORDS_UNREADABLE(7006, Level.WARNING, "durable events of the account could not be read", "stream", "code"),

	/** A configuration was published. */
	CONFIG_PUBLISHED(7007, Level.INFO, "operator published a configuration", "version", "author"),

	/** A configuration was turned down. */
	CONFIG_REFUSED(7008, Level.WARNING, "configuration of an operator was turned down", "base", "author", "code"),

	/** Durable events were not appended; they are appended later. */
	ACCOUNT_APPEND_FAILED(7009, Level.INFO, "durable events of the account could not be appended yet", "events");

	private final EventDescription description;

	OperatorEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
