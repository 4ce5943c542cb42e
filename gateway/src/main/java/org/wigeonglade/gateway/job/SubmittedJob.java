package org.wigeonglade.gateway.job;

import java.util.List;

/**
 * Job as submitted by a caller.
 *
 * @param id the identifier of the job, not null
 * @param hostName the HTTP host name to which it was submitted, not null
 * @param path the URL path to which it was submitted, not null
 * @param submittedAtMillis the time of arrival in milliseconds since the epoch
 * @param items the items in order, not null
 */
public record SubmittedJob(JobId id, String hostName, String path, long submittedAtMillis, List<SubmittedItem> items) {

	/**
	 * Returns the number of tokens of all items.
	 * @return the sum over the items
	 */
	public long getTokens() {
		return this.items.stream().mapToLong(SubmittedItem::tokens).sum();
	}

}
