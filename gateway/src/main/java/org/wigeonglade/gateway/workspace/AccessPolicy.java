package org.wigeonglade.gateway.workspace;

import java.util.Optional;

/**
 * Decides whether the key of a request permits it. Callers do not retry after they were
 * denied, so an unknown key is denied by a recent configuration only; and a known key is
 * accepted only while it cannot have been withdrawn for too long. Stateless.
 */
public final class AccessPolicy {

	private AccessPolicy() {
	}

	/**
	 * Decides on a request.
	 * @param workspaces the workspaces of the configuration, not null
	 * @param publicRoute whether the route needs no key
	 * @param apiKey the key of the request, empty if it has none or a malformed one
	 * @param freshness what is known of newer configurations, not null
	 * @return the decision, never null
	 */
	public static Access decide(WorkspaceTable workspaces, boolean publicRoute, Optional<String> apiKey,
			Freshness freshness) {
		if (!workspaces.isKeyRequired()) {
			return new Access.Granted(new RequestIdentity.Unmanaged());
		}
		Optional<Workspace> workspace = apiKey.flatMap(workspaces::findByKey);
		boolean usable = freshness != Freshness.EXPIRED;
		if (workspace.isPresent() && usable) {
			return new Access.Granted(new RequestIdentity.Member(workspace.get().id()));
		}
		if (publicRoute) {
			return new Access.Granted(new RequestIdentity.Anonymous());
		}
		boolean missing = apiKey.isEmpty();
		return (missing || (workspace.isEmpty() && freshness == Freshness.RECENT)) ? new Access.Denied()
				: new Access.Uncertain();
	}

	/**
	 * What is known of configurations newer than the one in force at this host.
	 */
	public enum Freshness {

		/** A newer one would have been read by now, but for the last moments. */
		RECENT,

		/** There may be a newer one, which has not withdrawn a key for too long. */
		USABLE,

		/** A newer one may have withdrawn a key for too long. */
		EXPIRED

	}

}
