package org.wigeonglade.core.id;

import java.util.Objects;

/**
 * Identifier of one process of an upstream. A restarted upstream may use its former name
 * again, but is another incarnation. Immutable and ordered by its text.
 *
 * @param value the text, not null
 */
public record UpstreamIncarnation(String value) implements Comparable<UpstreamIncarnation> {

	/**
	 * Creates the identifier.
	 * @throws NullPointerException if the text is null
	 */
	public UpstreamIncarnation {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the identifier for a text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 */
	public static UpstreamIncarnation of(String value) {
		return new UpstreamIncarnation(value);
	}

	/**
	 * Returns the identifier of the process of an upstream.
	 * @param upstream the name of the upstream, not null
	 * @param startedMillis the start of the process, in milliseconds since the epoch
	 * @return the identifier, never null
	 */
	public static UpstreamIncarnation of(String upstream, long startedMillis) {
		return new UpstreamIncarnation(upstream + "@" + startedMillis);
	}

	@Override
	public int compareTo(UpstreamIncarnation other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
