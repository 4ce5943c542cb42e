package org.wigeonglade.gateway.online;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.gateway.fleet.Placement;

/**
 * Prometheus metrics of online requests.
 */
public final class OnlineMetrics {

	private final Counter requests;

	private final Counter attempts;

	private final Counter rejections;

	private final Histogram timeToFirstByte;

	/**
	 * Registers the metrics.
	 * @param registry the registry, not null
	 */
	public OnlineMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.withoutExemplars()
			.name("wigeonglade_requests_total")
			.help("Requests by outcome")
			.labelNames("outcome")
			.register(registry);
		this.attempts = Counter.builder()
			.withoutExemplars()
			.name("wigeonglade_attempts_total")
			.help("Sends to runners by outcome")
			.labelNames("outcome")
			.register(registry);
		this.rejections = Counter.builder()
			.withoutExemplars()
			.name("wigeonglade_rejections_total")
			.help("Requests rejected before they ran, by cause")
			.labelNames("cause")
			.register(registry);
		this.timeToFirstByte = Histogram.builder()
			.withoutExemplars()
			.name("wigeonglade_first_answer_seconds")
			.help("Time from the arrival of a request to the first byte of its answer")
			.classicOnly()
			.classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1, 3)
			.register(registry);
	}

	/**
	 * Counts a finished request.
	 * @param outcome the value of the outcome label, not null
	 */
	public void countRequest(String outcome) {
		this.requests.labelValues(outcome).inc();
	}

	/**
	 * Counts a finished attempt.
	 * @param outcome the value of the outcome label, not null
	 */
	public void countAttempt(String outcome) {
		this.attempts.labelValues(outcome).inc();
	}

	/**
	 * Counts a request that was rejected before it ran.
	 * @param cause the cause, not null
	 */
	public void countRejection(Placement.Cause cause) {
		this.rejections.labelValues(cause.name()).inc();
	}

	/**
	 * Records the time from the arrival of a request to the first byte of its response.
	 * @param millis the time in milliseconds, at least 0
	 */
	public void recordTimeToFirstByte(long millis) {
		this.timeToFirstByte.observe(millis / 1_000.0);
	}

}
