package org.wigeonglade.gateway.job;

import java.util.List;
import java.util.Optional;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * Job as submitted by a caller.
 *
 * @param id the identifier of the job, not null
 * @param hostName the HTTP host name to which it was submitted, not null
 * @param path the URL path to which it was submitted, not null
 * @param workspace the workspace whose key it was submitted with, empty if there was
 * none; not null
 * @param submittedAtMillis the time of arrival in milliseconds since the epoch
 * @param items the items in order, not null
 */
public record SubmittedJob(JobId id, String hostName, String path, Optional<WorkspaceId> workspace,
		long submittedAtMillis, List<SubmittedItem> items) {

	/**
	 * Creates a job that belongs to no workspace.
	 * @param id the identifier of the job, not null
	 * @param hostName the HTTP host name to which it was submitted, not null
	 * @param path the URL path to which it was submitted, not null
	 * @param submittedAtMillis the time of arrival in milliseconds since the epoch
	 * @param items the items in order, not null
	 */
	public SubmittedJob(JobId id, String hostName, String path, long submittedAtMillis, List<SubmittedItem> items) {
		this(id, hostName, path, Optional.empty(), submittedAtMillis, items);
	}

	/**
	 * Returns this job as one of a workspace.
	 * @param owner the workspace, empty for none; not null
	 * @return the job, never null
	 */
	public SubmittedJob withWorkspace(Optional<WorkspaceId> owner) {
		return new SubmittedJob(this.id, this.hostName, this.path, owner, this.submittedAtMillis, this.items);
	}

	/**
	 * Returns the number of tokens of all items.
	 * @return the sum over the items
	 */
	public long getTokens() {
		return this.items.stream().mapToLong(SubmittedItem::tokens).sum();
	}

}
