package org.wigeonglade.entry.control;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the control runtime.
 */
enum ControlEvent implements LogEvent {

	/** The control runtime was started. */
	STARTED(3001, Level.INFO, "control runtime started", "host", "incarnation"),

	/** A host was added to the fleet view. */
	HOST_FOUND(3002, Level.INFO, "host added to the fleet view", "host", "incarnation", "domain"),

	/** A host was removed from the fleet view, usually for missing heartbeats. */
	HOST_LOST(3003, Level.WARNING, "host removed from the fleet view", "host", "incarnation", "silent_ms"),

	/** An upstream is being shut down and gets no new work. */
	UPSTREAM_LEAVING(3004, Level.INFO, "upstream is leaving", "upstream", "incarnation", "source"),

	/** The control loop did not run for more than half of the silence limit. */
	PAUSED(3005, Level.WARNING, "control loop was paused; extending the silence limit of all members by the pause",
			"pause_ms"),

	/** The first failed call to a platform service since the last success. */
	PLATFORM_LOST(3006, Level.WARNING, "platform became unreachable", "service", "reason"),

	/** The first successful call to a platform service after a failure. */
	PLATFORM_BACK(3007, Level.INFO, "platform is reachable again", "service"),

	/** A digest or notice of a peer is invalid. */
	DIGEST_REJECTED(3008, Level.WARNING, "digest or notice of a peer rejected", "host", "reason"),

	/** This host applied a configuration. */
	CONFIG_APPLIED(3020, Level.INFO, "configuration in force", "version", "author", "reason", "source"),

	/** This build cannot parse a published configuration. */
	CONFIG_UNUSABLE(3021, Level.ERROR, "configuration cannot be parsed by this build; previous version stays in force",
			"version", "reason"),

	/** A configuration change of this host was accepted. */
	CONFIG_ACCEPTED(3022, Level.INFO, "configuration change accepted", "version", "author"),

	/** A configuration change conflicted with another change of the same version. */
	CONFIG_CONFLICT(3023, Level.INFO, "configuration change rejected; version was published by another change",
			"version", "author", "winner"),

	/** This host appended the current configuration again. */
	CONFIG_REAPPENDED(3024, Level.INFO, "configuration appended again before its record expires", "version"),

	/** A record of a stream cannot be decoded or applied. */
	RECORD_UNREADABLE(3025, Level.ERROR, "log record cannot be decoded and is skipped", "stream", "offset"),

	/** This host has determined the current configuration and may serve. */
	CONFIG_READY(3026, Level.INFO, "current configuration determined; host may serve", "version", "source"),

	/** This host appended a claim for a placement. */
	PLACEMENT_CLAIMED(3040, Level.INFO, "placement claimed", "service", "domain", "term"),

	/** This host no longer holds a placement. */
	PLACEMENT_LOST(3041, Level.INFO, "placement no longer held by this host", "service", "domain", "term", "holder"),

	/** A command is sent to a runner. */
	COMMAND_SENT(3042, Level.INFO, "command sent to a runner", "upstream", "term", "model", "version"),

	/** A runner did not accept a command. */
	COMMAND_FAILED(3043, Level.WARNING, "runner did not accept a command", "upstream", "term", "reason"),

	/** A placement change is deferred to keep the minimum number of ready runners. */
	PLACEMENT_BLOCKED(3044, Level.WARNING, "placement change deferred; ready runners would fall below the floor",
			"service", "domain", "ready", "floor"),

	/** A step of the control loop failed. */
	STEP_FAILED(3050, Level.ERROR, "control loop step failed; retrying in the next iteration", "step");

	private final EventDescription description;

	ControlEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
