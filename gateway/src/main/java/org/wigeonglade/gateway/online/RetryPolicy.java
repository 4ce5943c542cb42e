package org.wigeonglade.gateway.online;

import org.wigeonglade.gateway.route.Route;

/**
 * Decides whether a request may be retried, based on its route and the outcomes of its
 * attempts so far. Holds the state of one request and does no I/O. Not thread-safe.
 */
public final class RetryPolicy {

	/**
	 * Number of attempts that certainly did not run after which a request is refused:
	 * each costs a round trip out of the time until the caller's deadline.
	 */
	static final int MAX_NOT_RUN_ATTEMPTS = 4;

	private final Route route;

	private int runCount;

	private int notRunCount;

	/**
	 * Creates a policy for one request.
	 * @param route the route of the request, not null
	 */
	public RetryPolicy(Route route) {
		this.route = route;
	}

	/**
	 * Records an attempt that certainly did not run.
	 */
	public void recordNotRun() {
		this.notRunCount++;
	}

	/**
	 * Records an attempt that ran or may have run.
	 */
	public void recordRun() {
		this.runCount++;
	}

	/**
	 * Returns whether a further attempt is allowed.
	 * @return true if neither the kind of the route nor the attempts so far forbid it
	 */
	public boolean mayRetry() {
		if (this.notRunCount >= MAX_NOT_RUN_ATTEMPTS || this.runCount >= this.route.getMaxAttempts()) {
			return false;
		}
		return this.runCount == 0 || this.route.isRetryable();
	}

	/**
	 * Returns whether the request certainly has not run.
	 * @return false once an attempt ran or may have run
	 */
	public boolean isNotRun() {
		return this.runCount == 0;
	}

	/**
	 * Returns the number of recorded attempts.
	 * @return the number, whether they ran or not
	 */
	public int getAttempts() {
		return this.runCount + this.notRunCount;
	}

}
