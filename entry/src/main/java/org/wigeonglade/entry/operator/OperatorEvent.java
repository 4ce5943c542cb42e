package org.wigeonglade.entry.operator;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the operator interface and of durable account events.
 */
public enum OperatorEvent implements LogEvent {

	/** The operator interface accepts connections. */
	LISTENING(7001, Level.INFO, "operator interface is listening", "address", "tls"),

	/** An operator request failed with an unexpected exception. */
	REQUEST_FAILED(7002, Level.ERROR, "operator request failed unexpectedly", "path"),

	/** The TLS certificate was reloaded. */
	CERTIFICATE_RELOADED(7003, Level.DEBUG, "TLS certificate of the operator interface reloaded", "changed"),

	/** The TLS certificate could not be reloaded. */
	CERTIFICATE_FAILED(7004, Level.WARNING,
			"TLS certificate of the operator interface could not be reloaded; the previous one stays in use", "path"),

	/** A host did not reply to an account query. */
	QUERY_UNANSWERED(7005, Level.INFO, "host did not reply to an account query", "host", "code"),

	/** Durable account events could not be read from the log. */
	RECORDS_UNREADABLE(7006, Level.WARNING, "durable account events could not be read from the log", "stream", "code"),

	/** An operator published a configuration that was accepted. */
	CONFIG_PUBLISHED(7007, Level.INFO, "operator published a configuration", "version", "author"),

	/** A valid configuration could not be published, for example after a conflict. */
	CONFIG_REFUSED(7008, Level.WARNING, "configuration of an operator was rejected", "base", "author", "code"),

	/** Durable account events could not be appended; the append is retried. */
	ACCOUNT_APPEND_FAILED(7009, Level.INFO, "durable account events could not be appended; will retry", "events");

	private final EventDescription description;

	OperatorEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
