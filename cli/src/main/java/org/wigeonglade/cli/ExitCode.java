package org.wigeonglade.cli;

import org.wigeonglade.core.error.ErrorCode;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** The command did its work. */
	static final int SUCCESS = 0;

	/** A promise was broken, a check failed, or a request was turned down. */
	static final int FAILED = 1;

	/** The command was used in a wrong way. */
	static final int USAGE = 2;

	/** A settings or configuration file is not valid. */
	static final int SETTINGS = 3;

	/** Another change came first. */
	static final int CONFLICT = 4;

	/** A host or the platform cannot be reached or takes no work now. */
	static final int UNREACHABLE = 5;

	/** An unexpected failure. */
	static final int INTERNAL = 70;

	/** The process was stopped by a second signal. */
	static final int INTERRUPTED = 130;

	private ExitCode() {
	}

	static int of(ErrorCode code) {
		return switch (code) {
			case SETTINGS_INVALID, SETTINGS_UNREADABLE, CONFIG_INVALID -> SETTINGS;
			case ARGUMENT_INVALID -> USAGE;
			case CONFIG_CONFLICT, KEY_REUSED, KEY_IN_PROGRESS, COMMAND_FENCED -> CONFLICT;
			case NO_UPSTREAM, OVERLOADED, STOPPING, PLATFORM_UNAVAILABLE, PLATFORM_UNKNOWN, PEER_UNREACHABLE,
					PEER_OVERLOADED, NOT_OWNER ->
				UNREACHABLE;
			case INTERNAL, RECORD_INVALID -> INTERNAL;
			default -> FAILED;
		};
	}

}
