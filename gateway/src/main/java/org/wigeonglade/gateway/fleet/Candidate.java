package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * A runner as a placement decision sees it.
 *
 * @param entry the registration, not null
 * @param load the requests in progress over all hosts, not null
 * @param avoided whether recent failures speak against it
 * @param sameDomain whether it is in the failure domain of this host
 * @param meanHold the mean time that a request holds one of its slots, not null
 */
public record Candidate(RunnerEntry entry, LoadBoard.Load load, boolean avoided, boolean sameDomain,
		Duration meanHold) {

	/**
	 * Returns the number of slots without a request.
	 * @return the number, negative while requests queue at the runner
	 */
	public int getFreeSlots() {
		return this.entry.slots() - this.load.getTotal();
	}

	/**
	 * Returns the number of requests beyond the slots if batch items gave theirs back.
	 * @return the number, negative while slots are without an online request
	 */
	public int getOnlineExcess() {
		return this.load.online() - this.entry.slots();
	}

	/**
	 * Returns how many batch items must give their slots back so that a further online
	 * request need not queue behind any.
	 * @return the number, at least 0
	 */
	public int getNeededPreemptions() {
		return Math.max(0, Math.min(this.load.batch(), 1 - getFreeSlots()));
	}

	/**
	 * Returns the expected time in the queue of the runner if its slots are all taken by
	 * online requests.
	 * @return the time in milliseconds
	 */
	public double getQueueMillis() {
		return this.meanHold.toMillis() * (double) (getOnlineExcess() + 1) / this.entry.slots();
	}

}
