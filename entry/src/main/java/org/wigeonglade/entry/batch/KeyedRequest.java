package org.wigeonglade.entry.batch;

import java.util.Objects;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Identity of a non-idempotent online request with an idempotency key.
 *
 * @param workspace the workspace, not null
 * @param idempotencyKey the key that the client sent, not empty
 * @param requestDigest the SHA-256 digest of method, URI and body, not null
 * @param requestId the identifier that this host assigned to the request, not null
 */
public record KeyedRequest(WorkspaceId workspace, String idempotencyKey, ByteString requestDigest,
		RequestId requestId) {

	/**
	 * Creates an identity.
	 */
	public KeyedRequest {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
		Objects.requireNonNull(requestDigest, "requestDigest");
		Objects.requireNonNull(requestId, "requestId");
	}

}
