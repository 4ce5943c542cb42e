package org.wigeonglade.gateway.host;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.gateway.caller.CallerOperation;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.job.JobService;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.online.OnlineRequest;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RouteKind;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Dispatches the requests of callers to the handlers of jobs and of online requests.
 * Requests are refused here while the host shuts down or has no configuration. Confined
 * to the event loop.
 */
final class CallRouter {

	private static final EventLogger LOG = EventLogger.of(CallRouter.class);

	/**
	 * Retry delay in milliseconds if the newest configuration has not been read; it is
	 * read soon after the start.
	 */
	private static final long NO_CONFIGURATION_RETRY_MILLIS = 250;

	/**
	 * Maximum time that a request without a route waits for the newest configuration.
	 */
	private static final Duration FRESH_CONFIGURATION_WAIT = Duration.ofMillis(900);

	/**
	 * Time before requests in progress are abandoned at which a request is answered that
	 * was accepted during the shutdown.
	 */
	private static final Duration ANSWER_MARGIN = Duration.ofMillis(150);

	private static final Duration UNLIMITED = Duration.ofDays(1);

	private final CallerProtocol protocol;

	private final JobService jobs;

	private final OnlineContext online;

	private final StreamFollower configurationFollower;

	private final Supplier<GracefulShutdown> shutdown;

	// The supplier returns null unless the host is shutting down.
	CallRouter(JobService jobs, OnlineContext online, StreamFollower configurationFollower,
			Supplier<GracefulShutdown> shutdown) {
		this.protocol = online.protocol();
		this.jobs = jobs;
		this.online = online;
		this.configurationFollower = configurationFollower;
		this.shutdown = shutdown;
	}

	void handle(CallerExchange call) {
		handleSafely(call, () -> {
			CallerOperation parsed = this.protocol.read(call.getRequest().method(), call.getRequest().uri(),
					call.getRequest().headers());
			if (parsed instanceof CallerOperation.Routed) {
				route(call);
			}
			else if (isAccepting(call, JobService.getMaxTime(parsed))) {
				this.jobs.handle(call, parsed, getTimeToAnswer());
			}
		});
	}

	// Refuses a request that may not be complete before the process ends; another host
	// serves it.
	private boolean isAccepting(CallerExchange call, Duration limit) {
		GracefulShutdown current = this.shutdown.get();
		long now = this.online.ticker().millis();
		if (current == null || current.isAccepting(limit, now)) {
			return true;
		}
		LOG.log(GatewayEvent.REFUSED_AT_STOP, requestId(call), current.getElapsed(now), 503);
		call.respond(503, this.protocol.refusalHeaders(0), new byte[0]);
		return false;
	}

	// The time until requests in progress are abandoned.
	private Duration getTimeToAnswer() {
		GracefulShutdown current = this.shutdown.get();
		return (current != null) ? current.getRemaining(this.online.ticker().millis()).minus(ANSWER_MARGIN) : UNLIMITED;
	}

	private void handleSafely(CallerExchange call, Runnable handler) {
		try {
			handler.run();
		}
		catch (InvalidRequestException ex) {
			call.respond(400, List.of(), ex.getMessage().getBytes(StandardCharsets.UTF_8));
		}
		catch (RuntimeException ex) {
			LOG.log(GatewayEvent.UNEXPECTED, ex, requestId(call));
			if (call.isHeadWritten()) {
				call.abort();
			}
			else {
				call.respond(500, List.of(), new byte[0]);
			}
		}
	}

	private void route(CallerExchange call) {
		if (this.online.fleet().getRoutingTable() == null) {
			refuseWithoutConfiguration(call);
			return;
		}
		Optional<Route> route = findRoute(call);
		if (route.isPresent()) {
			start(call, route.get());
		}
		else {
			confirmMissingRoute(call);
		}
	}

	// Callers do not retry after 404, so a missing route is confirmed by a configuration
	// that is read after the request has arrived.
	private void confirmMissingRoute(CallerExchange call) {
		if (!this.configurationFollower.isReachable()) {
			refuseWithoutConfiguration(call);
			return;
		}
		if (!isAccepting(call, FRESH_CONFIGURATION_WAIT)) {
			return;
		}
		this.configurationFollower.whenCaughtUp(FRESH_CONFIGURATION_WAIT, () -> handleSafely(call, () -> {
			if (!call.isEnded()) {
				findRoute(call).ifPresentOrElse((route) -> start(call, route), () -> respondNoRoute(call));
			}
		}), () -> refuseWithoutConfiguration(call));
	}

	private Optional<Route> findRoute(CallerExchange call) {
		return this.online.fleet().getRoutingTable().find(hostName(call), call.getPath());
	}

	private void start(CallerExchange call, Route route) {
		long timeout = route.getTimeout().toMillis();
		Duration limit = Duration
			.ofMillis(Math.min(timeout, this.protocol.waitMillis(call.getRequest().headers()).orElse(timeout)));
		if (!isAccepting(call, limit)) {
			return;
		}
		Duration timeToAnswer = getTimeToAnswer();
		Duration wait = (limit.compareTo(timeToAnswer) < 0) ? limit : timeToAnswer;
		if (route.getKind() == RouteKind.BATCH) {
			this.jobs.submit(call, route, wait);
		}
		else {
			OnlineRequest.start(this.online, call, route, wait);
		}
	}

	private void respondNoRoute(CallerExchange call) {
		LOG.log(GatewayEvent.NO_ROUTE, requestId(call), hostName(call), call.getPath(),
				this.online.fleet().getRoutingTable().getVersion(), this.configurationFollower.getAgeMillis());
		call.respond(404, List.of(), new byte[0]);
	}

	private void refuseWithoutConfiguration(CallerExchange call) {
		LOG.log(GatewayEvent.CONFIGURATION_UNCERTAIN, requestId(call), this.configurationFollower.getAgeMillis(), 503);
		call.respond(503, this.protocol.refusalHeaders(NO_CONFIGURATION_RETRY_MILLIS), new byte[0]);
	}

	private static String hostName(CallerExchange call) {
		return call.getRequest().headers().get("Host");
	}

	private String requestId(CallerExchange call) {
		return this.protocol.requestId(call.getRequest().headers()).orElse(null);
	}

}
