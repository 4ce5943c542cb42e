package org.wigeonglade.core.http;

/**
 * Finds the beginnings of status lines in bytes that should have none. A part of another
 * response that was written into a body moves as many bytes behind the end of the body,
 * and a body that was cut ends in such a part. Not thread-safe.
 */
public final class StatusLineScanner {

	/** Length of the name of the protocol and the slash behind it. */
	private static final int PROTOCOL_NAME_LENGTH = 5;

	private final StringBuilder prefix = new StringBuilder(StatusLine.PREFIX_LENGTH);

	private int matched;

	private int longest;

	/**
	 * Adds the next byte.
	 * @param value the byte
	 * @return true if it completes the part that all status lines have
	 */
	public boolean add(byte value) {
		if (!StatusLine.mayHave(this.matched, value)) {
			// The first byte of a status line occurs nowhere else in it.
			this.matched = 0;
		}
		if (!StatusLine.mayHave(this.matched, value)) {
			return false;
		}
		if (this.matched == 0) {
			this.prefix.setLength(0);
		}
		this.prefix.append((char) value);
		this.matched++;
		this.longest = Math.max(this.longest, this.matched);
		this.matched %= StatusLine.PREFIX_LENGTH;
		return this.matched == 0;
	}

	/**
	 * Returns the part that the last byte has completed.
	 * @return the version and the status, never null
	 */
	public String getPrefix() {
		return this.prefix.toString();
	}

	/**
	 * Returns whether a status line may have begun in the bytes.
	 * @return true if the name of the protocol occurs, or the bytes end in a part of it
	 */
	public boolean isFound() {
		return isFound(PROTOCOL_NAME_LENGTH);
	}

	/**
	 * Returns whether the bytes may be those of a body with a part of another response in
	 * it.
	 * @param following the number of bytes behind the body, at least 1
	 * @return true if a beginning of a status line of this length or more occurs, or the
	 * bytes end in one of any length
	 */
	public boolean isFound(int following) {
		return this.matched > 0 || this.longest >= Math.min(following, PROTOCOL_NAME_LENGTH);
	}

}
