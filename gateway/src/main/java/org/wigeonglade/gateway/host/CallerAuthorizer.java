package org.wigeonglade.gateway.host;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.ClockReading;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.store.StreamFollower;
import org.wigeonglade.gateway.workspace.Access;
import org.wigeonglade.gateway.workspace.AccessPolicy;
import org.wigeonglade.gateway.workspace.ConfigurationLease;
import org.wigeonglade.gateway.workspace.RequestIdentity;
import org.wigeonglade.gateway.workspace.WorkspaceTable;

/**
 * Authorizes the requests of callers by the API keys of the configuration. A request that
 * the newest configuration has to decide waits for one read of it. Confined to the event
 * loop.
 */
final class CallerAuthorizer {

	private static final EventLogger LOG = EventLogger.of(CallerAuthorizer.class);

	private static final int UNAUTHORIZED = 401;

	private static final int SERVICE_UNAVAILABLE = 503;

	/**
	 * Maximum time that a request waits for the newest configuration. The store answers
	 * within a few milliseconds, and another host can serve the request instead.
	 */
	private static final Duration MAX_WAIT = Duration.ofMillis(150);

	/** Other hosts may know the newest configuration, so a retry may follow at once. */
	private static final long RETRY_AFTER_MILLIS = 0;

	private final Fleet fleet;

	private final CallerProtocol protocol;

	private final StreamFollower configuration;

	private final ConfigurationLease lease;

	private final Ticker ticker;

	CallerAuthorizer(Fleet fleet, CallerProtocol protocol, StreamFollower configuration, ConfigurationLease lease,
			Ticker ticker) {
		this.fleet = fleet;
		this.protocol = protocol;
		this.configuration = configuration;
		this.lease = lease;
		this.ticker = ticker;
	}

	/**
	 * Authorizes a request, or responds to it.
	 * @param call the request, not null
	 * @param keyless whether its route needs no key
	 * @param onGranted receives the identity, possibly after this method returns; not
	 * called if the request was denied or has ended; not null
	 */
	void authorize(CallerExchange call, boolean keyless, Consumer<RequestIdentity> onGranted) {
		Runnable refuse = () -> refuse(call);
		Runnable decideOnNewest = () -> {
			if (!call.isEnded()) {
				handle(call, keyless, onGranted, refuse);
			}
		};
		handle(call, keyless, onGranted, this.configuration.isReachable()
				? () -> this.configuration.whenCaughtUp(MAX_WAIT, decideOnNewest, refuse) : refuse);
	}

	private void handle(CallerExchange call, boolean keyless, Consumer<RequestIdentity> onGranted,
			Runnable onUncertain) {
		switch (decide(call, keyless)) {
			case Access.Granted granted -> onGranted.accept(granted.identity());
			case Access.Denied denied -> deny(call);
			case Access.Uncertain uncertain -> onUncertain.run();
		}
	}

	private Access decide(CallerExchange call, boolean keyless) {
		RoutingTable table = this.fleet.getRoutingTable();
		if (table == null) {
			return new Access.Uncertain();
		}
		WorkspaceTable workspaces = table.getWorkspaces();
		Optional<String> key = workspaces.isKeyRequired() ? this.protocol.apiKey(call.getRequest().headers())
				: Optional.empty();
		return AccessPolicy.decide(workspaces, keyless, key,
				this.lease.getFreshness(this.configuration.getCurrentAsOf(), ClockReading.of(this.ticker)));
	}

	private void deny(CallerExchange call) {
		LOG.log(GatewayEvent.KEY_DENIED, requestId(call), this.fleet.getRoutingTable().getVersion());
		call.respond(UNAUTHORIZED, List.of(), new byte[0]);
	}

	private void refuse(CallerExchange call) {
		if (!call.isEnded()) {
			LOG.log(GatewayEvent.KEY_UNCERTAIN, requestId(call), SERVICE_UNAVAILABLE,
					this.configuration.getAgeMillis());
			call.respond(SERVICE_UNAVAILABLE, this.protocol.refusalHeaders(RETRY_AFTER_MILLIS), new byte[0]);
		}
	}

	private String requestId(CallerExchange call) {
		return this.protocol.requestId(call.getRequest().headers()).orElse(null);
	}

}
