package org.wigeonglade.core.platform;

/**
 * Role of a listed machine.
 */
public enum HostRole {

	/** An entry host of this system. */
	ENTRY,

	/** A model engine. */
	RUNNER,

	/** An instance of a plain service. */
	SERVICE

}
