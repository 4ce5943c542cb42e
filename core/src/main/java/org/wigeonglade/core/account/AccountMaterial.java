package org.wigeonglade.core.account;

import java.util.List;

import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Holds what was collected for an account, and from where. Immutable.
 *
 * @param query what was asked
 * @param events the collected events, in any order, duplicates allowed
 * @param silentHosts hosts that are taken as live but did not answer
 * @param truncatedHosts hosts that dropped events that may match
 * @param latestStartWallMillis the latest start of an answering host; events that were
 * kept only in memory are known since then; 0 if no host answered
 * @param logRead whether the durable events could be read
 * @param logOldestWallMillis the time of the oldest durable record, 0 if nothing expired
 */
public record AccountMaterial(AccountQuery query, List<AccountRecord> events, List<String> silentHosts,
		List<String> truncatedHosts, long latestStartWallMillis, boolean logRead, long logOldestWallMillis) {

	/**
	 * Creates the material with copies of the lists.
	 */
	public AccountMaterial {
		events = List.copyOf(events);
		silentHosts = List.copyOf(silentHosts);
		truncatedHosts = List.copyOf(truncatedHosts);
	}

}
