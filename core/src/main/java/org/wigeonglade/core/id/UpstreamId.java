package org.wigeonglade.core.id;

/**
 * Identifier of an upstream: a runner or an instance of a plain service. Immutable and
 * ordered by its text.
 *
 * @param value the text, 1 to 200 letters, digits, dots, underscores, colons or hyphens
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

	/**
	 * Creates the identifier.
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public UpstreamId {
		Identifiers.requireValid("upstream", value);
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public static UpstreamId of(String value) {
		return new UpstreamId(value);
	}

	@Override
	public int compareTo(UpstreamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
