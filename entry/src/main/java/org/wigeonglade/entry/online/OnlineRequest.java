package org.wigeonglade.entry.online;

import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.schema.generated.settings.Profile;

/**
 * Validated completion request of a caller.
 *
 * @param id the identifier
 * @param workspace the workspace of the caller
 * @param weight the fair-share weight of the workspace, at least 1
 * @param service the service
 * @param profile the profile in force when the request arrived
 * @param model the model
 * @param prompt the prompt text
 * @param maxTokens the largest number of tokens in the response
 * @param fingerprint the hash of service and body
 * @param deadlineNanos the monotonic time at which the response is no longer needed
 * @param traceParent the W3C trace context, or empty
 */
public record OnlineRequest(RequestId id, WorkspaceId workspace, int weight, ServiceName service, Profile profile,
		String model, String prompt, int maxTokens, Fingerprint fingerprint, long deadlineNanos, String traceParent) {
}
