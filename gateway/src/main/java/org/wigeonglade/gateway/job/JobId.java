package org.wigeonglade.gateway.job;

import java.util.Objects;

/**
 * Identifier of a job, chosen by its submitter.
 *
 * @param value the identifier text, not null
 */
public record JobId(String value) {

	/**
	 * Creates the identifier.
	 * @throws NullPointerException if the text is null
	 */
	public JobId {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the identifier text, not null
	 * @return the identifier, never null
	 */
	public static JobId of(String value) {
		return new JobId(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
