package org.wigeonglade.gateway.fleet;

/**
 * What is timed when a runner is observed. The time of one unit differs between kinds, so
 * each has a mean of its own for each service.
 */
public enum WorkKind {

	/** The first event of a stream that was not queued. */
	FIRST_EVENT(3),

	/** A further event of a stream. */
	EVENT(8),

	/** An event of a batch item. */
	ITEM_EVENT(8),

	/** A response that is not a stream. */
	RESPONSE(3);

	private final double maxFactor;

	WorkKind(double maxFactor) {
		this.maxFactor = maxFactor;
	}

	/**
	 * Returns the longest time of one observation that counts. A large request takes
	 * several times as long as a small one until its first event or its response, at the
	 * same speed of the runner; events differ less.
	 * @return the time as a multiple of the mean of the service
	 */
	double getMaxFactor() {
		return this.maxFactor;
	}

}
