package org.wigeonglade.gateway.fleet;

/**
 * What is timed when a runner is observed. The time of one unit differs between kinds, so
 * each has a mean of its own for each service.
 */
public enum WorkKind {

	/** The first event of a stream that was not queued. */
	FIRST_EVENT,

	/** A further event of a stream. */
	EVENT,

	/** An event of a batch item. */
	ITEM_EVENT,

	/** A response that is not a stream. */
	RESPONSE

}
