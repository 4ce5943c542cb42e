package org.wigeonglade.entry.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.completion.CompletionResponseWriter;

/**
 * Requests in progress on a host. While the host stops, refuses the requests that cannot
 * be complete before its end, and answers those that are not. Thread-safe.
 */
final class RequestTracker {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final Ticker ticker;

	private final Map<RoutingContext, Context> open = new ConcurrentHashMap<>();

	private final Set<RoutingContext> keyed = ConcurrentHashMap.newKeySet();

	private volatile DrainPeriod drain;

	private volatile int interruptedCount;

	RequestTracker(Ticker ticker) {
		this.ticker = ticker;
	}

	// Called on the event loop of the request.
	void begin(RoutingContext context) {
		this.open.put(context, Vertx.currentContext());
		context.addEndHandler((ignored) -> this.open.remove(context));
	}

	// A call with an idempotency key is in progress until its response is stored, also
	// after its caller has disconnected.
	void beginKeyed(RoutingContext context) {
		this.keyed.add(context);
	}

	void endKeyed(RoutingContext context) {
		this.keyed.remove(context);
	}

	int getCount() {
		return this.open.size() + (int) this.keyed.stream().filter((call) -> !this.open.containsKey(call)).count();
	}

	int getInterruptedCount() {
		return this.interruptedCount;
	}

	void drain(DrainPeriod period) {
		this.drain = period;
	}

	// Refuses a request on arrival.
	void checkArrival() {
		DrainPeriod period = this.drain;
		if (period != null && !period.isAccepting(this.ticker.nanos())) {
			throw stopping();
		}
	}

	// Refuses a request that has been read, if its time limit is not before the end.
	void checkLimit(Duration limit) {
		DrainPeriod period = this.drain;
		long now = this.ticker.nanos();
		if (period != null && !period.isAccepting(now) && !period.fits(limit, now)) {
			throw stopping();
		}
	}

	void interruptAll() {
		this.interruptedCount = getCount();
		this.open.forEach((request, loop) -> loop.runOnContext((ignored) -> interrupt(request)));
	}

	private static void interrupt(RoutingContext request) {
		WigeongladeException failure = new UpstreamException(ErrorCode.DEADLINE_EXCEEDED, ExecutionState.UNKNOWN, false,
				"this host stops before the response is complete", null);
		HttpServerResponse response = request.response();
		if (!response.headWritten()) {
			response.putHeader("Connection", "close");
			request.fail(failure);
		}
		else if (!response.ended() && "text/event-stream".equals(response.headers().get("Content-Type"))) {
			response
				.end(CompletionResponseWriter.error(ErrorBody.toJson(failure, CallerAuthenticator.requestId(request))));
		}
	}

	private static RefusedException stopping() {
		return new RefusedException(ErrorCode.STOPPING, "this host is stopping", RETRY_AFTER);
	}

}
