package org.wigeonglade.gateway.route;

/**
 * States what may be repeated and how the answer is delivered.
 */
public enum RouteKind {

	/** A request with one answer that may run more than once. */
	SAFE,

	/** A request with one answer that runs at most once. */
	RUN_ONCE,

	/** A stream of events. */
	STREAM,

	/** A job of many items that run later. */
	BATCH

}
