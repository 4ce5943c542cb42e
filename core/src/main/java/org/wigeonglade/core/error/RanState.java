package org.wigeonglade.core.error;

/**
 * States whether the work of a failed request or item was run by an upstream.
 */
public enum RanState {

	/** No byte of the work was written to any upstream. */
	NOT_RUN("not_run"),

	/** An upstream ran the work. */
	RAN("ran"),

	/** An upstream may have run the work. */
	UNKNOWN("unknown");

	private final String text;

	RanState(String text) {
		this.text = text;
	}

	/**
	 * Returns the text used in error bodies.
	 * @return the lower-case text, never null
	 */
	public String getText() {
		return this.text;
	}

}
