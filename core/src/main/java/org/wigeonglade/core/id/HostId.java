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

	// The methods that are generated for records are linked at run time, which is slow in
	// a process that has just started.
	@Override
	public boolean equals(Object other) {
		return other instanceof HostId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
