package org.wigeonglade.gateway.online;

import org.wigeonglade.gateway.route.Route;

/**
 * Decides whether a request may be sent again after an attempt without a usable answer.
 * Pure.
 */
public final class RetryRule {

	/**
	 * Sends that certainly did not run, after which a request is refused: each costs a
	 * round trip of the time that the caller has.
	 */
	static final int MAX_NOT_RUN = 4;

	private final Route route;

	private int ran;

	private int notRun;

	/**
	 * Creates the rule for one request.
	 * @param route the route of the request, not null
	 */
	public RetryRule(Route route) {
		this.route = route;
	}

	/**
	 * Records an attempt that certainly did not run.
	 */
	public void recordNotRun() {
		this.notRun++;
	}

	/**
	 * Records an attempt that ran or may have run.
	 */
	public void recordRun() {
		this.ran++;
	}

	/**
	 * Returns whether the request may be sent again.
	 * @return true if neither its kind nor its number of attempts forbids it
	 */
	public boolean mayTryAgain() {
		if (this.notRun >= MAX_NOT_RUN || this.ran >= this.route.getMaxAttempts()) {
			return false;
		}
		return this.ran == 0 || this.route.isRepeatable();
	}

	/**
	 * Returns whether it can be promised that the request has not run.
	 * @return true if no attempt may have run
	 */
	public boolean isNotRun() {
		return this.ran == 0;
	}

	/**
	 * Returns the number of sends.
	 * @return the number
	 */
	public int getAttempts() {
		return this.ran + this.notRun;
	}

}
