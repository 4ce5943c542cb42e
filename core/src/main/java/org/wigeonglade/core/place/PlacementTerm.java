package org.wigeonglade.core.place;

import java.util.List;

import org.wigeonglade.schema.generated.log.RunnerAssignment;

/**
 * Holds who places the runners of a key.
 *
 * @param term the fencing token, 0 before the first claim
 * @param host the name of the holder, empty before the first claim
 * @param incarnation the incarnation of the holder
 * @param released whether the holder gave it up
 * @param offset the offset of the newest valid record, -1 before the first
 * @param assignments the end state that was written last
 */
public record PlacementTerm(long term, String host, long incarnation, boolean released, long offset,
		List<RunnerAssignment> assignments) {

	/** Nobody has claimed the key. */
	public static final PlacementTerm NONE = new PlacementTerm(0, "", 0, true, -1, List.of());

	/**
	 * Creates the term with a copy of the assignments.
	 */
	public PlacementTerm {
		assignments = List.copyOf(assignments);
	}

	/**
	 * Returns whether a host holds the key under this term.
	 * @param name the name of the host
	 * @param itsIncarnation its incarnation
	 * @return true unless it is held by another or was released
	 */
	public boolean isHeldBy(String name, long itsIncarnation) {
		return !this.released && this.host.equals(name) && this.incarnation == itsIncarnation;
	}

}
