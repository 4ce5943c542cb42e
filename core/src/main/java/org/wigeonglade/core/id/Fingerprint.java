package org.wigeonglade.core.id;

/**
 * Fingerprint that requests with the same service and body share, or requests with the
 * same part in their prompts. Immutable and ordered by its text.
 *
 * @param value the text, 1 to 200 letters, digits, dots, underscores, colons or hyphens
 */
public record Fingerprint(String value) implements Comparable<Fingerprint> {

	/**
	 * Creates the identifier.
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public Fingerprint {
		Identifiers.requireValid("fingerprint", value);
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the text is null or
	 * malformed
	 */
	public static Fingerprint of(String value) {
		return new Fingerprint(value);
	}

	/**
	 * Returns the fingerprint of a part of prompts.
	 * @param id the id of the part, not null
	 * @return the fingerprint, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the id is malformed
	 */
	public static Fingerprint ofPromptPart(String id) {
		return new Fingerprint("part:" + id);
	}

	@Override
	public int compareTo(Fingerprint other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
