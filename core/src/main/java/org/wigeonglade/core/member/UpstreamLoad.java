package org.wigeonglade.core.member;

/**
 * Holds the load that other hosts put on an upstream, as of their last digests.
 *
 * @param inFlightOnline the online requests of other hosts in progress there
 * @param inFlightBatch the batch items of other hosts in progress there
 * @param lowestLimit the lowest concurrency limit that another host learned, 0 if none
 * told one
 * @param openBreakers the number of other hosts whose circuit breaker is open
 */
public record UpstreamLoad(int inFlightOnline, int inFlightBatch, int lowestLimit, int openBreakers) {

	/** No known load. */
	public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0, 0);

	UpstreamLoad plus(int online, int batch, int limit, boolean open) {
		int lowest = (this.lowestLimit == 0 || (limit > 0 && limit < this.lowestLimit)) ? limit : this.lowestLimit;
		return new UpstreamLoad(this.inFlightOnline + online, this.inFlightBatch + batch, lowest,
				this.openBreakers + ((open) ? 1 : 0));
	}

}
