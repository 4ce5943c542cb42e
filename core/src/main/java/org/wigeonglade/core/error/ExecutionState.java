package org.wigeonglade.core.error;

/**
 * Whether an upstream executed the work of a failed request or item.
 */
public enum ExecutionState {

	/** No byte of the work was written to any upstream. */
	NOT_RUN("not_run"),

	/** An upstream executed the work, at least in part. */
	RAN("ran"),

	/** An upstream may have executed the work. */
	UNKNOWN("unknown");

	private final String text;

	ExecutionState(String text) {
		this.text = text;
	}

	/**
	 * Combines the states of several attempts at the same work.
	 * @param other the state of the other attempts, not null
	 * @return {@link #NOT_RUN} only if no attempt may have run, never null
	 */
	public ExecutionState combine(ExecutionState other) {
		if (this == RAN || other == RAN) {
			return RAN;
		}
		return (this == UNKNOWN || other == UNKNOWN) ? UNKNOWN : NOT_RUN;
	}

	/**
	 * Returns the text written in error bodies.
	 * @return the lower-case text, never null
	 */
	public String getText() {
		return this.text;
	}

}
