package org.wigeonglade.core.route;

/**
 * Candidate upstream of a routing decision.
 *
 * @param name the stable name, the key of rendezvous hashing
 * @param load the requests in flight: those of this host and, as last reported, those of
 * other hosts
 * @param limit the adaptive limit of requests in flight
 * @param usable whether the circuit breaker admits a request
 */
public record Endpoint(String name, int load, int limit, boolean usable) {

	/**
	 * Returns whether the candidate can accept one more request.
	 * @return true if it is usable and below its limit
	 */
	public boolean hasCapacity() {
		return this.usable && this.load < this.limit;
	}

	/**
	 * Returns the fraction of the limit that is in use.
	 * @return 0 for an idle upstream, 1 at the limit
	 */
	public double getUtilization() {
		return (double) this.load / Math.max(1, this.limit);
	}

}
