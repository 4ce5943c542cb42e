package org.wigeonglade.gateway.workspace;

/**
 * Whether the key of a request permits it.
 */
public sealed interface Access {

	/**
	 * The request may run.
	 *
	 * @param identity on whose behalf it runs, not null
	 */
	record Granted(RequestIdentity identity) implements Access {

	}

	/**
	 * The key is missing or unknown in the newest configuration.
	 */
	record Denied() implements Access {

	}

	/**
	 * The newest configuration, which decides, is not known.
	 */
	record Uncertain() implements Access {

	}

}
