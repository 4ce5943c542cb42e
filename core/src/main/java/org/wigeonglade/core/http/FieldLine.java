package org.wigeonglade.core.http;

import java.util.Optional;

/**
 * A header or trailer field of an HTTP/1.1 message. Immutable.
 *
 * @param name the name, a token
 * @param value the value without surrounding white space
 */
public record FieldLine(String name, String value) {

	private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

	/**
	 * Parses a line. A folded line, white space before the colon and control characters
	 * are refused, and so is a value in which a status line begins: the head of another
	 * response then follows a head that was cut.
	 * @param line the line in ISO 8859-1 without its line end, not null
	 * @return the field, empty if the line is none
	 */
	public static Optional<FieldLine> parse(String line) {
		int colon = line.indexOf(':');
		if (colon < 1) {
			return Optional.empty();
		}
		for (int i = 0; i < colon; i++) {
			if (!isTokenCharacter(line.charAt(i))) {
				return Optional.empty();
			}
		}
		String value = strip(line.substring(colon + 1));
		if (!isText(value) || StatusLine.occursIn(value)) {
			return Optional.empty();
		}
		return Optional.of(new FieldLine(line.substring(0, colon), value));
	}

	/**
	 * Returns whether the field has a name.
	 * @param other the name in any case, not null
	 * @return true if the names are equal
	 */
	public boolean isNamed(String other) {
		return this.name.equalsIgnoreCase(other);
	}

	// Returns whether a text may be a value or a reason phrase.
	static boolean isText(String text) {
		return text.chars().allMatch((c) -> c == '\t' || (c >= ' ' && c != 0x7f));
	}

	private static boolean isTokenCharacter(char c) {
		return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
				|| TOKEN_PUNCTUATION.indexOf(c) >= 0;
	}

	private static String strip(String value) {
		int from = 0;
		int to = value.length();
		while (from < to && isWhiteSpace(value.charAt(from))) {
			from++;
		}
		while (to > from && isWhiteSpace(value.charAt(to - 1))) {
			to--;
		}
		return value.substring(from, to);
	}

	private static boolean isWhiteSpace(char c) {
		return c == ' ' || c == '\t';
	}

}
