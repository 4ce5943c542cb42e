package org.wigeonglade.gateway.host;

import java.nio.charset.StandardCharsets;
import java.util.List;
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
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Dispatches the requests of callers to the handlers of jobs and of online requests.
 * Requests are refused here while the host shuts down or has no configuration. Confined
 * to the event loop.
 */
final class CallRouter {

	private static final EventLogger LOG = EventLogger.of(CallRouter.class);

	/**
	 * Retry delay in milliseconds if no configuration has been read; it is read soon
	 * after the start.
	 */
	private static final long NO_CONFIGURATION_RETRY_MILLIS = 250;

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
		GracefulShutdown current = this.shutdown.get();
		long now = this.online.ticker().millis();
		if (current != null && !current.isAccepting(now)) {
			LOG.log(GatewayEvent.REFUSED_AT_STOP, requestId(call), current.getElapsed(now), 503);
			call.respond(503, this.protocol.refusalHeaders(0), new byte[0]);
			return;
		}
		try {
			CallerOperation parsed = this.protocol.read(call.getRequest().method(), call.getRequest().uri(),
					call.getRequest().headers());
			if (parsed instanceof CallerOperation.Routed) {
				route(call);
			}
			else {
				this.jobs.handle(call, parsed);
			}
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
		RoutingTable table = this.online.fleet().getRoutingTable();
		if (table == null) {
			call.respond(503, this.protocol.refusalHeaders(NO_CONFIGURATION_RETRY_MILLIS), new byte[0]);
			return;
		}
		String hostName = call.getRequest().headers().get("Host");
		Route route = table.find(hostName, call.getPath()).orElse(null);
		if (route == null) {
			LOG.log(GatewayEvent.NO_ROUTE, requestId(call), hostName, call.getPath(), table.getVersion(),
					this.configurationFollower.getAgeMillis());
			call.respond(404, List.of(), new byte[0]);
		}
		else if (route.getKind() == RouteKind.BATCH) {
			this.jobs.submit(call, route);
		}
		else {
			OnlineRequest.start(this.online, call, route);
		}
	}

	private String requestId(CallerExchange call) {
		return this.protocol.requestId(call.getRequest().headers()).orElse(null);
	}

}
