package org.wigeonglade.core.account;

import java.util.List;

import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Input of an account: the collected events and how complete they are. Immutable.
 *
 * @param query the query that selected the events
 * @param events the collected events, in any order, duplicates allowed
 * @param unresponsiveHosts live hosts that did not answer the query
 * @param truncatedHosts hosts that have dropped events that may match
 * @param latestStartWallMillis the latest start time of a host that answered; its events
 * in memory begin there; 0 if no host answered
 * @param logRead whether the durable events could be read from the log
 * @param logOldestWallMillis the time of the oldest durable record, 0 if nothing expired
 */
public record AccountInput(AccountQuery query, List<AccountRecord> events, List<String> unresponsiveHosts,
		List<String> truncatedHosts, long latestStartWallMillis, boolean logRead, long logOldestWallMillis) {

	/**
	 * Creates the input with copies of the lists.
	 */
	public AccountInput {
		events = List.copyOf(events);
		unresponsiveHosts = List.copyOf(unresponsiveHosts);
		truncatedHosts = List.copyOf(truncatedHosts);
	}

}
