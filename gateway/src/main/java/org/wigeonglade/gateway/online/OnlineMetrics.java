package org.wigeonglade.gateway.online;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counters and latencies of online requests.
 */
public final class OnlineMetrics {

	private final Counter requests;

	private final Counter attempts;

	private final Histogram firstAnswer;

	/**
	 * Registers the metrics.
	 * @param registry the registry, not null
	 */
	public OnlineMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("wigeonglade_requests_total")
			.help("Requests by outcome")
			.labelNames("outcome")
			.register(registry);
		this.attempts = Counter.builder()
			.name("wigeonglade_attempts_total")
			.help("Sends to runners by outcome")
			.labelNames("outcome")
			.register(registry);
		this.firstAnswer = Histogram.builder()
			.name("wigeonglade_first_answer_seconds")
			.help("Time from the arrival of a request to the first byte of its answer")
			.classicOnly()
			.classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1, 3)
			.register(registry);
	}

	/**
	 * Counts the end of a request.
	 * @param outcome the outcome, not null
	 */
	public void request(String outcome) {
		this.requests.labelValues(outcome).inc();
	}

	/**
	 * Counts the end of a send.
	 * @param outcome the outcome, not null
	 */
	public void attempt(String outcome) {
		this.attempts.labelValues(outcome).inc();
	}

	/**
	 * Records the time to the first byte of an answer.
	 * @param millis the time in milliseconds
	 */
	public void firstAnswer(long millis) {
		this.firstAnswer.observe(millis / 1_000.0);
	}

}
