package org.wigeonglade.entry.batch;

import java.util.Objects;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * Describes a job that a client is about to upload.
 *
 * @param workspace the workspace of the client, not null
 * @param idempotencyKey the key of the client, empty if it sent none
 */
public record JobSubmission(WorkspaceId workspace, String idempotencyKey) {

	/**
	 * Creates the description.
	 */
	public JobSubmission {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

}
