package org.wigeonglade.gateway.runner;

/**
 * Why a call to a runner has no complete answer.
 *
 * @param kind what happened, not null
 * @param reason the details in plain words, not null
 */
public record RunnerFailure(Kind kind, String reason) {

	/**
	 * Returns whether the request certainly did not run.
	 * @return true if it may be sent elsewhere whatever its kind
	 */
	public boolean isNotRun() {
		return this.kind == Kind.UNREACHABLE || this.kind == Kind.NO_CONNECTION;
	}

	/**
	 * Kinds of failure.
	 */
	public enum Kind {

		/** No connection could be opened. */
		UNREACHABLE,

		/** This host has as many connections to the runner as it may have. */
		NO_CONNECTION,

		/** A connection that had been idle broke before any byte of the answer. */
		STALE_CONNECTION,

		/** The connection broke or carried bytes that are no answer. */
		BROKEN,

		/** The runner did not answer or paused for too long. */
		SILENT

	}

}
