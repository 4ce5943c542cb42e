package org.wigeonglade.entry.control;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the control runtime.
 */
enum ControlEvent implements LogEvent {

	/** The runtime was started. */
	STARTED(3001, Level.INFO, "control runtime started", "host", "incarnation"),

	/** A host was heard of. */
	HOST_FOUND(3002, Level.INFO, "host joined the view", "host", "incarnation", "domain"),

	/** A host is silent. */
	HOST_LOST(3003, Level.WARNING, "host lost from the view", "host", "incarnation", "silent_ms"),

	/** An upstream gets no new work. */
	UPSTREAM_LEAVING(3004, Level.INFO, "upstream is leaving", "upstream", "incarnation", "source"),

	/** This host did not run for a while. */
	PAUSED(3005, Level.WARNING, "this host was paused; members are kept", "pause_ms"),

	/** The platform cannot be reached. */
	PLATFORM_LOST(3006, Level.WARNING, "platform became unreachable", "service", "reason"),

	/** The platform can be reached again. */
	PLATFORM_BACK(3007, Level.INFO, "platform is reachable again", "service"),

	/** A message of a peer cannot be used. */
	DIGEST_REJECTED(3008, Level.WARNING, "digest of a peer rejected", "host", "reason"),

	/** A configuration came into force on this host. */
	CONFIG_APPLIED(3020, Level.INFO, "configuration in force", "version", "author", "reason", "source"),

	/** A published configuration cannot be used by this build. */
	CONFIG_UNUSABLE(3021, Level.ERROR, "configuration cannot be used by this build; the version before stays",
			"version", "reason"),

	/** A configuration change was accepted. */
	CONFIG_ACCEPTED(3022, Level.INFO, "configuration change accepted", "version", "author"),

	/** A configuration change lost a race. */
	CONFIG_CONFLICT(3023, Level.INFO, "configuration change lost to another", "version", "author", "winner"),

	/** The current configuration was appended again. */
	CONFIG_CARRIED(3024, Level.INFO, "configuration appended again before its record expires", "version"),

	/** A record of a stream cannot be decoded. */
	RECORD_UNREADABLE(3025, Level.ERROR, "log record cannot be decoded and is skipped", "stream", "offset"),

	/** This host knows the configuration. */
	CONFIG_READY(3026, Level.INFO, "configuration is known", "version", "source"),

	/** A placement was claimed. */
	PLACEMENT_CLAIMED(3040, Level.INFO, "placement claimed", "service", "domain", "term"),

	/** A placement was lost to another holder. */
	PLACEMENT_LOST(3041, Level.INFO, "placement belongs to another holder", "service", "domain", "term", "holder"),

	/** A command was given to an engine. */
	COMMAND_SENT(3042, Level.INFO, "command sent to a runner", "upstream", "term", "model", "version"),

	/** An engine did not accept a command. */
	COMMAND_FAILED(3043, Level.WARNING, "runner did not accept a command", "upstream", "term", "reason"),

	/** A placement change waits because ready runners are at the floor. */
	PLACEMENT_BLOCKED(3044, Level.WARNING, "placement change waits: ready runners are at the floor", "service",
			"domain", "ready", "floor"),

	/** A step of the control loop failed. */
	STEP_FAILED(3050, Level.ERROR, "a step of the control loop failed", "step");

	private final EventDescription description;

	ControlEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
