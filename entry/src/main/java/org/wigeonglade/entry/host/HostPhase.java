package org.wigeonglade.entry.host;

/**
 * Life cycle phases of a host.
 */
enum HostPhase {

	/** Not started. */
	NEW,

	/** Started, from the beginning of the start to the planned stop. */
	STARTED,

	/** In a planned stop, while requests in progress are finished. */
	STOPPING,

	/** Stopped or terminated; final. */
	STOPPED

}
