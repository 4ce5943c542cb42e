package org.wigeonglade.gateway.job;

import java.util.Objects;

/**
 * Names an item of a job as its submitter does.
 *
 * @param value the text, not null
 */
public record ItemId(String value) {

	/**
	 * Creates the identifier.
	 */
	public ItemId {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 */
	public static ItemId of(String value) {
		return new ItemId(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
