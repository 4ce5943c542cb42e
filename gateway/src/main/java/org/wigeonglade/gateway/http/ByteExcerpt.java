package org.wigeonglade.gateway.http;

import java.util.HexFormat;

/**
 * Formats received bytes for the log.
 */
public final class ByteExcerpt {

	/** Largest number of bytes that are shown. */
	static final int MAX_BYTES = 160;

	private static final HexFormat HEX = HexFormat.of();

	private ByteExcerpt() {
	}

	/**
	 * Returns the first bytes as printable ASCII. Other bytes and the backslash are
	 * escaped as in a Java string, or as {@code \x} and two hexadecimal digits. An
	 * ellipsis of three dots follows if there are more bytes.
	 * @param bytes the bytes, not null
	 * @return the excerpt, never null
	 */
	public static String of(byte[] bytes) {
		StringBuilder excerpt = new StringBuilder();
		for (int i = 0; i < Math.min(bytes.length, MAX_BYTES); i++) {
			append(excerpt, bytes[i]);
		}
		return excerpt.append((bytes.length > MAX_BYTES) ? "..." : "").toString();
	}

	private static void append(StringBuilder excerpt, byte value) {
		switch (value) {
			case '\r' -> excerpt.append("\\r");
			case '\n' -> excerpt.append("\\n");
			case '\t' -> excerpt.append("\\t");
			case '\\' -> excerpt.append("\\\\");
			default -> {
				if (value >= ' ' && value <= '~') {
					excerpt.append((char) value);
				}
				else {
					excerpt.append("\\x").append(HEX.toHexDigits(value));
				}
			}
		}
	}

}
