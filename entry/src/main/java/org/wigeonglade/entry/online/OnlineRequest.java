package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.List;

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
 * @param sharedParts the fingerprints of the parts of the prompt that other requests may
 * share
 * @param deadlineNanos the monotonic time at which the response is no longer needed
 * @param traceParent the W3C trace context, or empty
 */
public record OnlineRequest(RequestId id, WorkspaceId workspace, int weight, ServiceName service, Profile profile,
		String model, String prompt, int maxTokens, Fingerprint fingerprint, List<Fingerprint> sharedParts,
		long deadlineNanos, String traceParent) {

	/**
	 * Creates the request with an unmodifiable copy of the fingerprints.
	 */
	public OnlineRequest {
		sharedParts = List.copyOf(sharedParts);
	}

	/**
	 * Returns what may crash an upstream when the request runs there.
	 * @return the shared parts of the prompt and the request itself
	 */
	List<Fingerprint> getSuspects() {
		List<Fingerprint> suspects = new ArrayList<>(this.sharedParts);
		suspects.add(this.fingerprint);
		return suspects;
	}

}
