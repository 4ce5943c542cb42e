package org.wigeonglade.core.route;

/**
 * Holds what the choice of an upstream needs to know of one candidate.
 *
 * @param name the stable name
 * @param load the requests in flight: own ones and the last known ones of other hosts
 * @param limit the learned limit of requests in flight
 * @param usable whether the breaker lets a request through
 */
public record Endpoint(String name, int load, int limit, boolean usable) {

	/**
	 * Returns whether the candidate may take one more request.
	 * @return true if it is usable and below its limit
	 */
	public boolean hasRoom() {
		return this.usable && this.load < this.limit;
	}

	/**
	 * Returns the part of the limit that is in use.
	 * @return 0 for an idle upstream, 1 at the limit
	 */
	public double getUse() {
		return (double) this.load / Math.max(1, this.limit);
	}

}
