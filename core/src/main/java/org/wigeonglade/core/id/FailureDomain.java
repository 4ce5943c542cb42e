package org.wigeonglade.core.id;

/**
 * Name of a failure domain. Immutable and ordered by its text.
 *
 * @param value the text, 1 to 200 letters, digits, dots, underscores, colons or hyphens
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

	/**
	 * Creates the identifier.
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public FailureDomain {
		Identifiers.requireValid("failure domain", value);
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public static FailureDomain of(String value) {
		return new FailureDomain(value);
	}

	@Override
	public int compareTo(FailureDomain other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
