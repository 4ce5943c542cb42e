package org.wigeonglade.gateway.job;

import java.util.Objects;

/**
 * Names a job as its submitter does.
 *
 * @param value the text, not null
 */
public record JobId(String value) {

	/**
	 * Creates the identifier.
	 */
	public JobId {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
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
