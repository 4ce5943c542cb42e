package org.wigeonglade.core.id;

import java.util.regex.Pattern;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Checks the text of identifiers.
 */
final class Names {

	/**
	 * Allows letters, digits, dot, underscore, colon and hyphen, at most 200 characters.
	 */
	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,199}");

	private Names() {
	}

	static String require(String kind, String value) {
		if (value == null || !NAME.matcher(value).matches()) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, kind + " must match " + NAME.pattern()
					+ " but is " + ((value != null) ? "'" + abbreviate(value) + "'" : "null"));
		}
		return value;
	}

	private static String abbreviate(String value) {
		return (value.length() <= 80) ? value : value.substring(0, 80) + "...";
	}

}
