package org.wigeonglade.entry.operator;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.UpstreamMember;

/**
 * Describes the state of a host as JSON.
 */
final class HostStatus {

	private final OperatorContext context;

	private final long startNanos;

	HostStatus(OperatorContext context) {
		this.context = context;
		this.startNanos = context.ticker().nanos();
	}

	JsonObject describe() {
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
			.put("accountEventsDropped", this.context.account().getDropped());
		JsonArray hosts = new JsonArray();
		view.hosts().forEach((host) -> hosts.add(describe(host)));
		JsonArray upstreams = new JsonArray();
		view.upstreams().forEach((upstream) -> upstreams.add(describe(upstream)));
		status.put("hosts", hosts).put("upstreams", upstreams);
		this.context.figures().get().forEach(status::put);
		return status;
	}

	private JsonObject describe(HostMember host) {
		return new JsonObject().put("host", host.id().value())
			.put("failureDomain", host.domain().value())
			.put("region", host.region().value())
			.put("stopping", host.stopping())
			.put("configurationVersion", host.configVersion())
			.put("lastSeenMillisAgo", Math.max(0, this.context.ticker().millis() - host.lastSeenMillis()));
	}

	private static JsonObject describe(UpstreamMember upstream) {
		return new JsonObject().put("upstream", upstream.id().value())
			.put("service", upstream.service().value())
			.put("failureDomain", upstream.domain().value())
			.put("kind", (upstream.runner()) ? "model" : "plain")
			.put("leaving", upstream.leaving());
	}

}
