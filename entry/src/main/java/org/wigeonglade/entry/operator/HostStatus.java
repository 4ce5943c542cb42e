package org.wigeonglade.entry.operator;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.UpstreamMember;

/**
 * Status report of a host in JSON: its own state, and the hosts and upstreams in its view
 * of the fleet.
 */
final class HostStatus {

	private final OperatorContext context;

	private final long startNanos;

	HostStatus(OperatorContext context) {
		this.context = context;
		this.startNanos = context.ticker().nanos();
	}

	JsonObject toJson() {
		FleetView view = this.context.fleet().current();
		VersionedConfiguration configuration = this.context.configuration().current();
		JsonObject status = new JsonObject().put("host", this.context.settings().getHost())
			.put("incarnation", this.context.incarnation())
			.put("failureDomain", this.context.settings().getFailureDomain())
			.put("region", this.context.settings().getRegion())
			.put("ready", this.context.ready().getAsBoolean())
			.put("uptimeSeconds", (this.context.ticker().nanos() - this.startNanos) / 1_000_000_000L)
			.put("configurationVersion", configuration.version())
			.put("platformReachable", view.platformReachable())
			.put("accountEventsDropped", this.context.accountEvents().getDropped());
		JsonArray hosts = new JsonArray();
		view.hosts().forEach((host) -> hosts.add(toJson(host)));
		JsonArray upstreams = new JsonArray();
		view.upstreams().forEach((upstream) -> upstreams.add(toJson(upstream)));
		status.put("hosts", hosts).put("upstreams", upstreams);
		this.context.statistics().get().forEach(status::put);
		return status;
	}

	private JsonObject toJson(HostMember host) {
		return new JsonObject().put("host", host.id().value())
			.put("failureDomain", host.domain().value())
			.put("region", host.region().value())
			.put("stopping", host.stopping())
			.put("configurationVersion", host.configVersion())
			.put("lastSeenMillisAgo", Math.max(0, this.context.ticker().millis() - host.lastSeenMillis()));
	}

	private static JsonObject toJson(UpstreamMember upstream) {
		return new JsonObject().put("upstream", upstream.id().value())
			.put("service", upstream.service().value())
			.put("failureDomain", upstream.domain().value())
			.put("kind", (upstream.runner()) ? "model" : "plain")
			.put("leaving", upstream.leaving());
	}

}
