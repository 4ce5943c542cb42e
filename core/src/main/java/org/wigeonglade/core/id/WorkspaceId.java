package org.wigeonglade.core.id;

/**
 * Identifier of a workspace. Immutable and ordered by its text.
 *
 * @param value the text, 1 to 200 letters, digits, dots, underscores, colons or hyphens
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

	/**
	 * Creates the identifier.
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public WorkspaceId {
		Identifiers.requireValid("workspace", value);
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public static WorkspaceId of(String value) {
		return new WorkspaceId(value);
	}

	@Override
	public int compareTo(WorkspaceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
