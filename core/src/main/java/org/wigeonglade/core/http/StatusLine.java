package org.wigeonglade.core.http;

import java.util.Optional;

/**
 * The first line of an HTTP/1.1 response. Immutable.
 *
 * @param minorVersion the minor version of HTTP, 0 to 9
 * @param status the status, 100 to 999
 * @param reason the reason phrase, empty if there is none
 */
public record StatusLine(int minorVersion, int status, String reason) {

	/** Length of the part that all status lines have, up to the status. */
	public static final int PREFIX_LENGTH = 12;

	private static final String PREFIX = "HTTP/1.";

	private static final int MAX_STATUS = 599;

	/**
	 * Parses a line.
	 * @param line the line in ISO 8859-1 without its line end, not null
	 * @return the status line, empty if the line is none or a second one begins in it
	 */
	public static Optional<StatusLine> parse(String line) {
		if (!beginsAt(line, 0) || line.charAt(9) == '0' || (line.length() > PREFIX_LENGTH && line.charAt(12) != ' ')) {
			return Optional.empty();
		}
		String reason = (line.length() > PREFIX_LENGTH) ? line.substring(PREFIX_LENGTH + 1) : "";
		if (!FieldLine.isText(reason) || occursIn(reason)) {
			return Optional.empty();
		}
		return Optional.of(new StatusLine(line.charAt(7) - '0', Integer.parseInt(line.substring(9, 12)), reason));
	}

	/**
	 * Returns whether a status line begins anywhere in a text.
	 * @param text the text, not null
	 * @return true if the text contains a version and a status
	 */
	public static boolean occursIn(String text) {
		for (int from = text.indexOf(PREFIX); from >= 0; from = text.indexOf(PREFIX, from + 1)) {
			if (beginsAt(text, from)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether a byte may stand at a position of the part that all status lines
	 * have.
	 * @param position the position, from 0 to {@link #PREFIX_LENGTH} - 1
	 * @param value the byte
	 * @return true if a status line may have this byte there
	 */
	public static boolean mayHave(int position, byte value) {
		return switch (position) {
			case 7, 9, 10, 11 -> value >= '0' && value <= '9';
			case 8 -> value == ' ';
			default -> value == PREFIX.charAt(position);
		};
	}

	/**
	 * Returns whether the status has a class, which says what kind of response it is.
	 * @return false from 600 on
	 */
	public boolean isDefined() {
		return this.status <= MAX_STATUS;
	}

	private static boolean beginsAt(String text, int from) {
		if (text.length() - from < PREFIX_LENGTH) {
			return false;
		}
		for (int i = 0; i < PREFIX_LENGTH; i++) {
			char c = text.charAt(from + i);
			if (c > 0x7f || !mayHave(i, (byte) c)) {
				return false;
			}
		}
		return true;
	}

}
