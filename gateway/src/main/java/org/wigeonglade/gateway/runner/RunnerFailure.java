package org.wigeonglade.gateway.runner;

/**
 * The reason why a call to a runner returned no complete response.
 *
 * @param kind the kind of failure, not null
 * @param reason a description for the log, not null
 */
public record RunnerFailure(Kind kind, String reason) {

	/**
	 * Returns whether the request certainly did not run.
	 * @return true if the request may be retried even if it must not run twice
	 */
	public boolean isNotRun() {
		return switch (this.kind) {
			case UNREACHABLE, NO_CONNECTION, RESTARTED, UNIDENTIFIED -> true;
			case STALE_CONNECTION, BROKEN, MALFORMED, DESYNCHRONIZED, SILENT -> false;
		};
	}

	/**
	 * Kinds of failure.
	 */
	public enum Kind {

		/** No connection could be opened. */
		UNREACHABLE,

		/** This host has reached its limit of connections to the runner. */
		NO_CONNECTION,

		/**
		 * The connection leads to another process of the runner than the one that the
		 * request was placed on, and that one must not receive it.
		 */
		RESTARTED,

		/**
		 * It cannot be told which process of the runner the connection leads to, and only
		 * some may receive the request.
		 */
		UNIDENTIFIED,

		/** A reused idle connection failed before the head of the response. */
		STALE_CONNECTION,

		/** The connection failed, or the body of the response was invalid. */
		BROKEN,

		/** The runner sent bytes that are no HTTP response. */
		MALFORMED,

		/**
		 * A reused connection held bytes that are no HTTP response. They may be the rest
		 * of an earlier one.
		 */
		DESYNCHRONIZED,

		/**
		 * The runner did not respond, or paused its response, for longer than the
		 * timeout.
		 */
		SILENT

	}

}
