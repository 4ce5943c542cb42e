package org.wigeonglade.gateway.runner;

import java.util.Optional;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.gateway.http.ResponseFault;
import org.wigeonglade.gateway.log.GatewayEvent;

/**
 * Logs and counts what runners send besides the response that is due.
 */
public final class ResponseMonitor {

	private static final EventLogger LOG = EventLogger.of(ResponseMonitor.class);

	private final Counter skipped;

	private final Counter unsound;

	/**
	 * Registers the metrics.
	 * @param registry the registry, not null
	 */
	public ResponseMonitor(PrometheusRegistry registry) {
		this.skipped = Counter.builder()
			.withoutExemplars()
			.name("wigeonglade_skipped_responses_total")
			.help("Responses of runners that were skipped because they belong to another request")
			.register(registry);
		this.unsound = Counter.builder()
			.withoutExemplars()
			.name("wigeonglade_unsound_responses_total")
			.help("Connections to runners that were closed because received bytes were no sound response")
			.labelNames("kind")
			.register(registry);
		for (ResponseFault.Kind kind : ResponseFault.Kind.values()) {
			this.unsound.initLabelValues(kind.getLabel());
		}
	}

	/**
	 * Records a response to another request.
	 * @param runner the runner, not null
	 * @param connection the connection, not null
	 * @param requestId the id of the request in progress, empty if it has none
	 * @param head the head of the skipped response, not null
	 */
	void recordSkipped(RunnerId runner, ClientConnection connection, Optional<String> requestId,
			RunnerResponseHead head) {
		this.skipped.inc();
		LOG.log(GatewayEvent.RESPONSE_SKIPPED, requestId.orElse(null), head.requestId().orElse(null), runner,
				connection.getNumber(), connection.getExchangeCount(), connection.isRelayed(), head.status());
	}

	/**
	 * Records bytes that are not the response to a request.
	 * @param runner the runner, not null
	 * @param connection the connection, not null
	 * @param fault the fault, not null
	 */
	void recordFault(RunnerId runner, ClientConnection connection, ResponseFault fault) {
		this.unsound.labelValues(fault.kind().getLabel()).inc();
		LOG.log(GatewayEvent.RESPONSE_UNSOUND, fault.requestId().orElse(null), fault.answeredId().orElse(null), runner,
				connection.getNumber(), connection.getExchangeCount(), connection.isRelayed(), fault.kind().getLabel(),
				fault.reason(), fault.headForwarded(), fault.excerpt());
	}

}
