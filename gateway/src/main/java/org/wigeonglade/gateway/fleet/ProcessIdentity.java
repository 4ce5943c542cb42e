package org.wigeonglade.gateway.fleet;

/**
 * Which process of a runner a connection leads to, compared with its registration.
 */
public sealed interface ProcessIdentity {

	/**
	 * The registered process.
	 *
	 * @param entry the registration, not null
	 */
	record Registered(RunnerEntry entry) implements ProcessIdentity {

	}

	/**
	 * A later process than the registered one.
	 *
	 * @param entry the former registration with the new start and an unknown version, not
	 * null
	 */
	record Unregistered(RunnerEntry entry) implements ProcessIdentity {

	}

	/**
	 * An earlier process than the registered one.
	 */
	record Former() implements ProcessIdentity {

	}

}
