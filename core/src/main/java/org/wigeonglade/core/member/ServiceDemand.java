package org.wigeonglade.core.member;

/**
 * Demand for a service in one failure domain, aggregated over the digests of its hosts.
 *
 * @param onlineArrivalsPerSecond the online requests that arrive per second
 * @param spareSlots the largest number of free slots that one of the hosts reported
 * @param pendingBatchItems the batch items that are pending
 */
public record ServiceDemand(double onlineArrivalsPerSecond, int spareSlots, int pendingBatchItems) {

	/** No reported demand. */
	public static final ServiceDemand NONE = new ServiceDemand(0, 0, 0);

	ServiceDemand plus(double arrivals, int spare, int pending) {
		return new ServiceDemand(this.onlineArrivalsPerSecond + arrivals, Math.max(this.spareSlots, spare),
				this.pendingBatchItems + pending);
	}

}
