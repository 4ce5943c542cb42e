package org.wigeonglade.cli;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows the state of a host and what it knows of the fleet.
 */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Shows a host and what it knows of the fleet.")
final class StatusCommand implements Callable<Integer> {

	private static final Set<String> HEADLINE = Set.of("host", "failureDomain", "region", "ready", "uptimeSeconds",
			"configurationVersion", "platformReachable");

	@Mixin
	private OperatorOptions operator;

	@Mixin
	private Console console;

	@Override
	public Integer call() {
		JsonObject status = this.operator.getJson("/operator/status", Map.of());
		if (this.console.isJson()) {
			this.console.printJson(status);
			return ExitCode.SUCCESS;
		}
		this.console.printf("Host %s in %s (%s): %s, up %d s", status.getString("host"),
				status.getString("failureDomain"), status.getString("region"),
				status.getBoolean("ready") ? "ready" : "not ready", status.getLong("uptimeSeconds"));
		this.console.printf("Configuration version %d; platform %s", status.getLong("configurationVersion"),
				status.getBoolean("platformReachable") ? "reachable" : "NOT reachable");
		printHosts(status.getJsonArray("hosts"));
		printUpstreams(status.getJsonArray("upstreams"));
		printFigures(status);
		return ExitCode.SUCCESS;
	}

	private void printHosts(JsonArray hosts) {
		this.console.printf("%nHosts (%d)", hosts.size());
		for (int i = 0; i < hosts.size(); i++) {
			JsonObject host = hosts.getJsonObject(i);
			this.console.printf("  %-24s %-16s configuration %d, seen %d ms ago%s", host.getString("host"),
					host.getString("failureDomain"), host.getLong("configurationVersion"),
					host.getLong("lastSeenMillisAgo"), host.getBoolean("stopping") ? ", stopping" : "");
		}
	}

	private void printUpstreams(JsonArray upstreams) {
		this.console.printf("%nUpstreams (%d)", upstreams.size());
		for (int i = 0; i < upstreams.size(); i++) {
			JsonObject upstream = upstreams.getJsonObject(i);
			this.console.printf("  %-24s %-16s %-8s %s%s", upstream.getString("upstream"),
					upstream.getString("failureDomain"), upstream.getString("kind"), upstream.getString("service"),
					upstream.getBoolean("leaving") ? ", leaving" : "");
		}
	}

	private void printFigures(JsonObject status) {
		this.console.println("");
		for (Map.Entry<String, Object> entry : status) {
			boolean shown = entry.getValue() instanceof JsonArray || HEADLINE.contains(entry.getKey());
			if (!shown) {
				this.console.printf("%s: %s", entry.getKey(), entry.getValue());
			}
		}
	}

}
