package org.wigeonglade.gateway.fleet;

import java.util.Objects;

/**
 * Names one start of a runner as its registration does.
 *
 * @param value the text, not null
 */
public record RunnerId(String value) implements Comparable<RunnerId> {

	/**
	 * Creates the identifier.
	 */
	public RunnerId {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 */
	public static RunnerId of(String value) {
		return new RunnerId(value);
	}

	@Override
	public int compareTo(RunnerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
