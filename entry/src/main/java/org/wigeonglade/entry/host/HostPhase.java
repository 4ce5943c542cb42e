package org.wigeonglade.entry.host;

/**
 * Phases of the life of a host.
 */
enum HostPhase {

	/** Not started yet. */
	NEW,

	/** Serving. */
	STARTED,

	/** Finishing its requests. */
	STOPPING,

	/** Ended. */
	STOPPED

}
