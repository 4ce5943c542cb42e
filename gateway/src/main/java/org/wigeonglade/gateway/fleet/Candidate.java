package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * The state of a runner that a placement decision is based on.
 *
 * @param entry the registration, not null
 * @param load the requests in progress from all hosts, not null
 * @param avoided whether it is used only if no other runner is available, because of
 * recent failures or a suspected partition of its failure domain
 * @param sameDomain whether it is in the failure domain of this host
 * @param meanHoldTime the mean time for which a request occupies one of its slots, not
 * null
 * @param allowance the requests that its rate limit admits now, not null
 * @param capacity what has been learned of its speed and saturation, not null
 */
public record Candidate(RunnerEntry entry, LoadTracker.Load load, boolean avoided, boolean sameDomain,
		Duration meanHoldTime, Allowance allowance, RunnerCapacity capacity) {

	/**
	 * Share of the slots of a runner with a rate limit that is kept free of batch items:
	 * a preempted item takes another request when it is resumed.
	 */
	private static final double LIMITED_FREE_SHARE = 0.25;

	/**
	 * Creates a candidate of which nothing has been learned.
	 * @param entry the registration, not null
	 * @param load the requests in progress from all hosts, not null
	 * @param avoided whether it is used only if no other runner is available
	 * @param sameDomain whether it is in the failure domain of this host
	 * @param meanHoldTime the mean time for which a request occupies a slot, not null
	 * @param allowance the requests that its rate limit admits now, not null
	 */
	public Candidate(RunnerEntry entry, LoadTracker.Load load, boolean avoided, boolean sameDomain,
			Duration meanHoldTime, Allowance allowance) {
		this(entry, load, avoided, sameDomain, meanHoldTime, allowance, RunnerCapacity.UNKNOWN);
	}

	/**
	 * Returns the number of idle slots.
	 * @return the slots less the requests in progress, negative if requests are queued
	 */
	public int getFreeSlots() {
		return this.entry.slots() - this.load.getTotal();
	}

	/**
	 * Returns the number of further requests that an idle slot serves without saturating
	 * the runner.
	 * @return the number, 0 or negative if there is none
	 */
	public int getUsefulSlots() {
		return Math.min(getFreeSlots(), this.capacity.knee() - this.load.getTotal());
	}

	/**
	 * Returns the number of batch items that may be started.
	 * @return the number, 0 or negative if none may be started
	 */
	public int getBatchCapacity() {
		int keptFree = this.allowance.isLimited() ? (int) Math.round(LIMITED_FREE_SHARE * this.entry.slots()) : 0;
		return Math.min(getUsefulSlots() - keptFree, this.allowance.batch());
	}

	/**
	 * Returns the number of online requests that would be queued if all batch items were
	 * preempted.
	 * @return the online requests less the slots, negative if online requests leave slots
	 * free
	 */
	public int getOnlineExcess() {
		return this.load.online() - this.entry.slots();
	}

	/**
	 * Returns the number of batch items to preempt so that one more online request does
	 * not queue behind a batch item.
	 * @return the number, at least 0 and at most the batch items in progress
	 */
	public int getNeededPreemptions() {
		return Math.max(0, Math.min(this.load.batch(), 1 - getFreeSlots()));
	}

	/**
	 * Returns the expected queueing time of one more online request, provided that online
	 * requests occupy all slots.
	 * @return the time in milliseconds, 0 or negative if slots are free of online
	 * requests
	 */
	public double getQueueMillis() {
		return this.meanHoldTime.toMillis() * (double) (getOnlineExcess() + 1) / this.entry.slots();
	}

}
