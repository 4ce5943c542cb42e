package org.wigeonglade.peer;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the connections between hosts.
 */
enum PeerEvent implements LogEvent {

	/** The listener is open. */
	LISTENING(6001, Level.INFO, "peer listener opened", "address"),

	/** A connection was closed because of malformed input. */
	INPUT_REJECTED(6002, Level.WARNING, "closed a peer connection after malformed input", "remote", "reason"),

	/** A host presented a certificate that was not issued to its name. */
	IDENTITY_REJECTED(6003, Level.WARNING, "closed a peer connection whose certificate does not name the host", "host",
			"remote"),

	/** A connection to a host failed. */
	CONNECT_FAILED(6004, Level.DEBUG, "cannot connect to a peer", "host", "address", "retry_ms", "reason"),

	/** A handler failed with an unexpected exception. */
	HANDLER_FAILED(6005, Level.ERROR, "a peer message handler failed", "body", "from"),

	/** Changed certificate files were loaded. */
	TLS_RELOADED(6006, Level.INFO, "reloaded the peer certificates", "certificate"),

	/** Changed certificate files cannot be loaded; the previous ones stay in use. */
	TLS_RELOAD_FAILED(6007, Level.WARNING, "cannot reload the peer certificates; the last good ones stay in use",
			"certificate"),

	/** Another host than the expected one listens on an address. */
	UNEXPECTED_HOST(6008, Level.WARNING, "a peer address belongs to another host", "expected", "found", "address");

	private final EventDescription description;

	PeerEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
