package org.wigeonglade.core.id;

/**
 * Identifier of an entry host. Immutable and ordered by its text.
 *
 * @param value the text, 1 to 200 letters, digits, dots, underscores, colons or hyphens
 */
public record HostId(String value) implements Comparable<HostId> {

	/**
	 * Creates the identifier.
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public HostId {
		Identifiers.requireValid("host", value);
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public static HostId of(String value) {
		return new HostId(value);
	}

	@Override
	public int compareTo(HostId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
