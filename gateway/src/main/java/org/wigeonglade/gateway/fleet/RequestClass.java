package org.wigeonglade.gateway.fleet;

import java.util.Optional;
import java.util.OptionalInt;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * What decides which online requests are rejected first when capacity is short.
 * Immutable.
 *
 * @param urgency the priority, where 0 is the most urgent
 * @param workspace the workspace that the request belongs to, empty if none; not null
 * @param size the input tokens plus ten times the output tokens, empty if not known; not
 * null
 */
public record RequestClass(int urgency, Optional<WorkspaceId> workspace, Optional<Long> size) {

	/** The class of all requests where there are no workspaces and no priorities. */
	public static final RequestClass DEFAULT = new RequestClass(0, Optional.empty(), Optional.empty());

	/**
	 * Returns the class of a request.
	 * @param routePriority the priority of its route
	 * @param workspace its workspace, empty if none; not null
	 * @param workspacePriority the priority of the workspace, which takes precedence;
	 * empty if the route decides; not null
	 * @param size the size, empty if not known; not null
	 * @return the class, never null
	 */
	public static RequestClass of(int routePriority, Optional<WorkspaceId> workspace, OptionalInt workspacePriority,
			Optional<Long> size) {
		return new RequestClass(workspacePriority.orElse(routePriority), workspace, size);
	}

}
