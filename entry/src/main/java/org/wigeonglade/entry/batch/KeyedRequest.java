package org.wigeonglade.entry.batch;

import java.util.Objects;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Identifies a non-idempotent online request with an idempotency key.
 *
 * @param workspace the workspace, not null
 * @param idempotencyKey the key of the client, not empty
 * @param requestDigest SHA-256 of the path and body, not null
 * @param requestId the id that this host gave the request, not null
 */
public record KeyedRequest(WorkspaceId workspace, String idempotencyKey, ByteString requestDigest,
		RequestId requestId) {

	/**
	 * Creates the identification.
	 */
	public KeyedRequest {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
		Objects.requireNonNull(requestDigest, "requestDigest");
		Objects.requireNonNull(requestId, "requestId");
	}

}
