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

	// The methods that are generated for records are linked at run time, which is slow in
	// a process that has just started.
	@Override
	public boolean equals(Object other) {
		return other instanceof FailureDomain that && this.value.equals(that.value);
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
