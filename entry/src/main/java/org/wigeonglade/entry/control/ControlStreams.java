package org.wigeonglade.entry.control;

import org.wigeonglade.core.id.StreamName;

/**
 * Names of the log streams that the control runtime reads and writes.
 */
public final class ControlStreams {

	/** The stream of configuration versions. */
	public static final StreamName CONFIG = StreamName.of("config");

	/** The stream of placement terms, quarantine and durable account events. */
	public static final StreamName CONTROL = StreamName.of("control");

	private ControlStreams() {
	}

}
