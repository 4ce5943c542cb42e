package org.wigeonglade.core.member;

/**
 * Load on an upstream that is caused by other hosts, as of their last digests.
 *
 * @param inFlightOnline the online requests of other hosts in flight
 * @param inFlightBatch the batch items of other hosts in flight
 * @param lowestLimit the lowest concurrency limit that another host reported, 0 if none
 * did
 * @param openBreakers the number of other hosts whose circuit breaker is open
 */
public record UpstreamLoad(int inFlightOnline, int inFlightBatch, int lowestLimit, int openBreakers) {

	/** No reported load. */
	public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0, 0);

	UpstreamLoad plus(int online, int batch, int limit, boolean open) {
		int lowest = (this.lowestLimit == 0 || (limit > 0 && limit < this.lowestLimit)) ? limit : this.lowestLimit;
		return new UpstreamLoad(this.inFlightOnline + online, this.inFlightBatch + batch, lowest,
				this.openBreakers + ((open) ? 1 : 0));
	}

}
