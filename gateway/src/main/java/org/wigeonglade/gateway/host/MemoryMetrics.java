package org.wigeonglade.gateway.host;

import java.util.HashMap;
import java.util.Map;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.http.BufferBudget;
import org.wigeonglade.gateway.runner.Fleet;

/**
 * Prometheus metrics of the memory of runners and of this host, read on the event loop.
 */
final class MemoryMetrics {

	private MemoryMetrics() {
	}

	/**
	 * Registers the data that is buffered for callers.
	 * @param registry the registry, not null
	 * @param budget the budget, not null
	 */
	static void registerBuffers(PrometheusRegistry registry, BufferBudget budget) {
		GaugeWithCallback.builder()
			.name("wigeonglade_buffered_bytes")
			.help("Bytes that are buffered for callers by kind")
			.labelNames("kind")
			.callback((callback) -> {
				callback.call(budget.getUploadBytes(), "upload");
				callback.call(budget.getResponseBytes(), "response");
			})
			.register(registry);
		CounterWithCallback.builder()
			.name("wigeonglade_readers_cut_off_total")
			.help("Callers whose connection was closed because they read too slowly")
			.callback((callback) -> callback.call(budget.getReadersCutOff()))
			.register(registry);
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
