package org.wigeonglade.gateway.host;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.wigeonglade.gateway.workspace.RequestIdentity;
import org.wigeonglade.gateway.workspace.UsageDecision;

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

	private static final int TOO_MANY_REQUESTS = 429;

	private final CallerProtocol protocol;

	private final JobService jobs;

	private final OnlineContext online;

	private final StreamFollower configurationFollower;

	private final Supplier<GracefulShutdown> shutdown;

	private final CallerAuthorizer authorizer;

	// The supplier returns null unless the host is shutting down.
	CallRouter(JobService jobs, OnlineContext online, StreamFollower configurationFollower, CallerAuthorizer authorizer,
			Supplier<GracefulShutdown> shutdown) {
		this.protocol = online.protocol();
		this.jobs = jobs;
		this.online = online;
		this.configurationFollower = configurationFollower;
		this.authorizer = authorizer;
		this.shutdown = shutdown;
	}

	void handle(CallerExchange call) {
		handleSafely(call, () -> {
			CallerOperation parsed = this.protocol.read(call.getRequest().method(), call.getRequest().uri(),
					call.getRequest().headers());
			if (parsed instanceof CallerOperation.Routed) {
				route(call);
			}
			else {
				this.authorizer.authorize(call, this.jobs.isKeyless(parsed),
						(identity) -> handleSafely(call, () -> handleJobCall(call, parsed, identity)));
			}
		});
	}

	private void handleJobCall(CallerExchange call, CallerOperation operation, RequestIdentity identity) {
		if (admit(call, JobService.getMaxTime(operation)).isPresent()) {
			this.jobs.handle(call, operation, identity);
		}
	}

	// Returns the time by which a request must be answered. Refuses one that may not be
	// complete before the process ends; another host serves it. Limits count from the
	// arrival of the request, also while it waits behind others or for a configuration.
	private OptionalLong admit(CallerExchange call, Duration limit) {
		GracefulShutdown current = this.shutdown.get();
		long limitEndMillis = call.getArrivedMillis() + limit.toMillis();
		if (current == null) {
			return OptionalLong.of(limitEndMillis);
		}
		long now = this.online.ticker().millis();
		OptionalLong answerByMillis = current.admit(limitEndMillis, now);
		long waitedMillis = now - call.getArrivedMillis();
		long timeLeftMillis = current.getAnswerEndMillis() - now;
		if (answerByMillis.isEmpty()) {
			LOG.log(GatewayEvent.REFUSED_AT_STOP, requestId(call), current.getElapsed(now), 503, limit.toMillis(),
					waitedMillis, timeLeftMillis);
			call.respond(503, this.protocol.refusalHeaders(0), new byte[0]);
			return answerByMillis;
		}
		if (!current.isKeepingIdleConnections(now) || limit.toMillis() - waitedMillis > timeLeftMillis) {
			LOG.log(GatewayEvent.ADMITTED_AT_STOP, requestId(call), current.getElapsed(now), limit.toMillis(),
					waitedMillis, timeLeftMillis);
		}
		return OptionalLong.of(Math.min(limitEndMillis, answerByMillis.getAsLong()));
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
			authorizeAndStart(call, route.get());
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
		long waitMillis = Math.min(FRESH_CONFIGURATION_WAIT.toMillis(),
				this.protocol.waitMillis(call.getRequest().headers()).orElse(Long.MAX_VALUE));
		admit(call, Duration.ofMillis(waitMillis)).ifPresent((answerByMillis) -> {
			Duration remaining = Duration.ofMillis(Math.max(0, answerByMillis - this.online.ticker().millis()));
			this.configurationFollower.whenCaughtUp(remaining, () -> handleSafely(call, () -> {
				if (!call.isEnded()) {
					findRoute(call).ifPresentOrElse((route) -> authorizeAndStart(call, route),
							() -> respondNoRoute(call));
				}
			}), () -> refuseWithoutConfiguration(call));
		});
	}

	private Optional<Route> findRoute(CallerExchange call) {
		return this.online.fleet().getRoutingTable().find(hostName(call), call.getPath());
	}

	private void authorizeAndStart(CallerExchange call, Route route) {
		this.authorizer.authorize(call, route.isKeyless(),
				(identity) -> handleSafely(call, () -> start(call, route, identity)));
	}

	private void start(CallerExchange call, Route route, RequestIdentity identity) {
		long timeout = route.getTimeout().toMillis();
		long limitMillis = Math.min(timeout, this.protocol.waitMillis(call.getRequest().headers()).orElse(timeout));
		admit(call, Duration.ofMillis(limitMillis)).ifPresent((deadlineMillis) -> {
			if (route.getKind() == RouteKind.BATCH) {
				this.jobs.submit(call, route, identity, deadlineMillis);
			}
			else if (isWithinUsageLimit(call, identity)) {
				OnlineRequest.start(this.online, call, route, identity, deadlineMillis);
			}
		});
	}

	private boolean isWithinUsageLimit(CallerExchange call, RequestIdentity identity) {
		Optional<UsageDecision> decision = identity.workspace().map(this.online.usage()::tryAdmit);
		if (decision.isPresent() && decision.get() instanceof UsageDecision.Reject rejection) {
			call.respond(TOO_MANY_REQUESTS, this.protocol.refusalHeaders(rejection.retryAfter().toMillis()),
					new byte[0]);
			return false;
		}
		return true;
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
