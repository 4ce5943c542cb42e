package org.wigeonglade.gateway.route;

/**
 * The execution semantics of the requests of a route: whether they may be repeated, and
 * how responses are delivered.
 */
public enum RouteKind {

	/** A request with a single response that may be executed more than once. */
	SAFE,

	/** A request with a single response that is executed at most once. */
	RUN_ONCE,

	/** A request whose response is a stream of events. */
	STREAM,

	/** A batch job of many items that are executed asynchronously. */
	BATCH

}
