package org.wigeonglade.gateway.fleet;

import java.util.Objects;

/**
 * The version of the software that a runner runs. Output of different versions does not
 * fit together. Versions have no order.
 *
 * @param value the text, not null
 */
public record SoftwareVersion(String value) {

	/** The version of a process whose registration is not known. */
	public static final SoftwareVersion UNKNOWN = new SoftwareVersion("");

	/**
	 * Creates the version; rejects null.
	 */
	public SoftwareVersion {
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the version for a text.
	 * @param value the text, not null
	 * @return the version, never null
	 */
	public static SoftwareVersion of(String value) {
		return new SoftwareVersion(value);
	}

	/**
	 * Returns whether the version is known. Runners of unknown versions may differ.
	 * @return false for {@link #UNKNOWN}
	 */
	public boolean isKnown() {
		return !this.value.isEmpty();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
