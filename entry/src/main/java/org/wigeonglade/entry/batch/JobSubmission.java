package org.wigeonglade.entry.batch;

import java.util.Objects;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * Workspace and idempotency key of a job that is about to be uploaded.
 *
 * @param workspace the workspace of the client, not null
 * @param idempotencyKey the idempotency key of the client, not null, empty if it sent
 * none
 */
public record JobSubmission(WorkspaceId workspace, String idempotencyKey) {

	/**
	 * Creates a submission.
	 */
	public JobSubmission {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

}
