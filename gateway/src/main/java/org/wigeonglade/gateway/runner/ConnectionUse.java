package org.wigeonglade.gateway.runner;

/**
 * The use of a connection by one call, which tells the log where an answer came from.
 *
 * @param connection the number of the connection, unique in the process; null if the call
 * had no connection
 * @param exchange the position of the request among those that the connection carried,
 * from 1; null if the call had no connection
 * @param skipped the number of responses to other requests that were skipped before the
 * response to this one; null if the call had no connection
 */
public record ConnectionUse(Long connection, Integer exchange, Integer skipped) {

	/** The use of no connection. */
	public static final ConnectionUse NONE = new ConnectionUse(null, null, null);

}
