package org.wigeonglade.entry.control;

import org.wigeonglade.core.id.StreamName;

/**
 * Names the streams of the control runtime.
 */
public final class ControlStreams {

	/** The stream of configuration versions. */
	public static final StreamName CONFIG = StreamName.of("config");

	/** The stream of placement terms, quarantine and durable events of the account. */
	public static final StreamName CONTROL = StreamName.of("control");

	private ControlStreams() {
	}

}
