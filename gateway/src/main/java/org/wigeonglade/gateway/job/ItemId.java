package org.wigeonglade.gateway.job;

import java.util.Objects;

/**
 * Identifier of an item within its job, chosen by the submitter.
 *
 * @param value the identifier text, not null
 */
public record ItemId(String value) {

	/**
	 * Creates the identifier.
	 * @throws NullPointerException if the text is null
	 */
	public ItemId {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the identifier text, not null
	 * @return the identifier, never null
	 */
	public static ItemId of(String value) {
		return new ItemId(value);
	}

	// The methods that are generated for records are linked at run time, which is slow in
	// a process that has just started.
	@Override
	public boolean equals(Object other) {
		return other instanceof ItemId that && this.value.equals(that.value);
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
