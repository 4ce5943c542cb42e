package org.wigeonglade.gateway.store;

/**
 * The keyed streams that the gateway uses.
 */
public enum KeyedStream {

	/** Configurations that operators publish. */
	CONFIGURATION,

	/** Registrations of runners. */
	RUNNERS,

	/** Jobs, results and hosts of this system. */
	OWN

}
