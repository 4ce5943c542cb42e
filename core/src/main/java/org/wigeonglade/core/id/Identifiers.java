package org.wigeonglade.core.id;

import java.util.regex.Pattern;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Validation of the text of identifiers.
 */
final class Identifiers {

	/**
	 * Allows letters, digits, dot, underscore, colon and hyphen, at most 200 characters.
	 */
	private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,199}");

	private Identifiers() {
	}

	static String requireValid(String kind, String value) {
		if (value == null || !VALID.matcher(value).matches()) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, kind + " must match " + VALID.pattern()
					+ " but is " + ((value != null) ? "'" + abbreviate(value) + "'" : "null"));
		}
		return value;
	}

	private static String abbreviate(String value) {
		return (value.length() <= 80) ? value : value.substring(0, 80) + "...";
	}

}
