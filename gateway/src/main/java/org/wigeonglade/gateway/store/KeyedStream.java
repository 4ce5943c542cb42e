package org.wigeonglade.gateway.store;

/**
 * Keyed streams that the gateway uses.
 */
public enum KeyedStream {

	/** Configurations published by operators. */
	CONFIGURATION,

	/** Registrations of runners. */
	RUNNERS,

	/** The gateway's own stream: jobs, results and registrations of hosts. */
	OWN

}
