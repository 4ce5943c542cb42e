package org.wigeonglade.gateway.host;

import java.util.HashMap;
import java.util.Map;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.runner.Fleet;

/**
 * Prometheus metrics of the memory of runners and of this host, read on the event loop.
 */
final class MemoryMetrics {

	private MemoryMetrics() {
	}

	/**
	 * Registers the tokens that this host has in progress.
	 * @param registry the registry, not null
	 * @param fleet the runners, not null
	 */
	static void registerTokens(PrometheusRegistry registry, Fleet fleet) {
		GaugeWithCallback.builder()
			.name("wigeonglade_kv_tokens")
			.help("Tokens of the requests of this host in progress at runners by service")
			.labelNames("service")
			.callback((callback) -> {
				Map<ServiceName, Long> sums = new HashMap<>();
				fleet.getMemoryPolicy()
					.getTracker()
					.getLocal()
					.forEach((runner, tokens) -> fleet.getDirectory()
						.find(runner)
						.ifPresent((entry) -> sums.merge(entry.service(), tokens, Long::sum)));
				sums.forEach((service, tokens) -> callback.call(tokens, service.value()));
			})
			.register(registry);
	}

}
