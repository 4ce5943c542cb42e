package org.wigeonglade.core.config;

/**
 * Value of a configuration that violates a rule.
 *
 * @param pointer the JSON pointer of the value
 * @param value the value as text
 * @param allowed what is allowed there
 */
public record ConfigurationViolation(String pointer, String value, String allowed) {

	@Override
	public String toString() {
		return this.pointer + " is " + this.value + "; allowed: " + this.allowed;
	}

}
