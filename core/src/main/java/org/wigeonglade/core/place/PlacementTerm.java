package org.wigeonglade.core.place;

import java.util.List;

import org.wigeonglade.schema.generated.log.RunnerAssignment;

/**
 * Term and holder of the lease of a placement key.
 *
 * @param term the fencing token, 0 before the first claim
 * @param host the name of the holder, empty before the first claim
 * @param incarnation the incarnation of the holder
 * @param released whether the holder has released the lease
 * @param offset the offset of the newest valid record, -1 before the first
 * @param assignments the target assignments that were written last
 */
public record PlacementTerm(long term, String host, long incarnation, boolean released, long offset,
		List<RunnerAssignment> assignments) {

	/** The state before the first claim. */
	public static final PlacementTerm NONE = new PlacementTerm(0, "", 0, true, -1, List.of());

	/**
	 * Creates the term with a copy of the assignments.
	 */
	public PlacementTerm {
		assignments = List.copyOf(assignments);
	}

	/**
	 * Returns whether a host holds the lease of the key under this term.
	 * @param name the name of the host
	 * @param hostIncarnation the incarnation of that host
	 * @return false if another host or incarnation holds it, or if it was released
	 */
	public boolean isHeldBy(String name, long hostIncarnation) {
		return !this.released && this.host.equals(name) && this.incarnation == hostIncarnation;
	}

}
