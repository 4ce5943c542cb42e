package org.wigeonglade.gateway.workspace;

import java.util.Optional;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * On whose behalf a request is made, which decides what its runner is told of the caller.
 */
public sealed interface RequestIdentity {

	/**
	 * Returns the identity of the items of a job.
	 * @param workspace the workspace of the job, empty if it was submitted without one;
	 * not null
	 * @return the identity, never null
	 */
	static RequestIdentity ofJob(Optional<WorkspaceId> workspace) {
		return workspace.<RequestIdentity>map(Member::new).orElseGet(Unmanaged::new);
	}

	/**
	 * Returns the workspace.
	 * @return the workspace, empty if the request belongs to none
	 */
	default Optional<WorkspaceId> workspace() {
		return (this instanceof Member member) ? Optional.of(member.id()) : Optional.empty();
	}

	/**
	 * The configuration has no workspaces: the headers of the caller are forwarded as
	 * they are.
	 */
	record Unmanaged() implements RequestIdentity {

	}

	/**
	 * A request without a known key on a public route.
	 */
	record Anonymous() implements RequestIdentity {

	}

	/**
	 * A request of a workspace.
	 *
	 * @param id the workspace, not null
	 */
	record Member(WorkspaceId id) implements RequestIdentity {

	}

}
