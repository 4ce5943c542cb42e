package org.wigeonglade.gateway.fleet;

import java.util.Objects;

/**
 * The identifier of a runner, the key of its registration. A restarted runner may use the
 * same identifier again.
 *
 * @param value the text, not null
 */
public record RunnerId(String value) implements Comparable<RunnerId> {

	/**
	 * Creates the identifier; rejects null.
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

	// The methods that are generated for records are linked at run time, which is slow in
	// a process that has just started.
	@Override
	public boolean equals(Object other) {
		return other instanceof RunnerId that && this.value.equals(that.value);
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
