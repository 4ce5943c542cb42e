package org.wigeonglade.core.id;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Validation of the text of identifiers.
 */
final class Identifiers {

	private static final int MAX_LENGTH = 200;

	/** Letters, digits, dot, underscore, colon and hyphen, the first not a mark. */
	private static final String FORMAT = "[A-Za-z0-9][A-Za-z0-9._:-]{0,199}";

	private Identifiers() {
	}

	static String requireValid(String kind, String value) {
		if (value == null || !isValid(value)) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, kind + " must match " + FORMAT + " but is "
					+ ((value != null) ? "'" + abbreviate(value) + "'" : "null"));
		}
		return value;
	}

	// Called for each identifier of each datagram, where a regular expression is slow.
	private static boolean isValid(String value) {
		if (value.isEmpty() || value.length() > MAX_LENGTH || !isLetterOrDigit(value.charAt(0))) {
			return false;
		}
		for (int i = 1; i < value.length(); i++) {
			char c = value.charAt(i);
			if (!isLetterOrDigit(c) && c != '.' && c != '_' && c != ':' && c != '-') {
				return false;
			}
		}
		return true;
	}

	private static boolean isLetterOrDigit(char c) {
		return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z');
	}

	private static String abbreviate(String value) {
		return (value.length() <= 80) ? value : value.substring(0, 80) + "...";
	}

}
