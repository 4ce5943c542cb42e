package org.wigeonglade.entry.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.error.ErrorCode;

/**
 * Prometheus metrics of one host. Each host has its own registry, so that several hosts
 * can run in one process. All methods are thread-safe and do not block.
 */
public final class HostMetrics {

	/** Content type of the text that {@link #write()} returns. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	/**
	 * Upper bounds of buckets in seconds; 0.56 s is the target for the time to first
	 * token.
	 */
	private static final double[] FIRST_TOKEN_BOUNDS = { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.56, 1, 2, 5, 10, 30 };

	/**
	 * Upper bounds of buckets in seconds; 32 ms is the target for the inter-token
	 * latency.
	 */
	private static final double[] INTER_TOKEN_BOUNDS = { 0.002, 0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.25, 1, 5 };

	private static final double[] APPEND_BOUNDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10 };

	private static final double MILLIS_PER_SECOND = 1000;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

	private final Counter requests;

	private final Histogram firstToken;

	private final Histogram interToken;

	private final Counter tokens;

	private final Counter batchItems;

	private final Counter appends;

	private final Histogram appendTime;

	private final Counter refusals;

	private final Counter preemptions;

	private final Counter retries;

	private final Counter peerFrames;

	private HostMetrics() {
		this.requests = counter("wigeonglade_online_requests", "Online requests that ended", "service", "outcome");
		this.firstToken = histogram("wigeonglade_first_token_seconds", "Time to first token", FIRST_TOKEN_BOUNDS,
				"service");
		this.interToken = histogram("wigeonglade_inter_token_seconds", "Time between two tokens of a stream",
				INTER_TOKEN_BOUNDS, "service");
		this.tokens = counter("wigeonglade_tokens", "Tokens received from engines", "service", "priority");
		this.batchItems = counter("wigeonglade_batch_items", "Batch items that ended", "service", "outcome");
		this.appends = counter("wigeonglade_log_appends", "Appends to the log service", "stream", "outcome");
		this.appendTime = histogram("wigeonglade_log_append_seconds", "Duration of an append", APPEND_BOUNDS, "stream");
		this.refusals = counter("wigeonglade_refusals", "Requests refused before they ran", "code");
		this.preemptions = counter("wigeonglade_preemptions", "Batch streams stopped for online work", "upstream");
		this.retries = counter("wigeonglade_retries", "Attempts after the first one", "service");
		this.peerFrames = counter("wigeonglade_peer_frames", "Frames exchanged with other hosts", "direction", "kind");
	}

	/**
	 * Creates metrics in a new registry.
	 * @return metrics without recorded values, never null
	 */
	public static HostMetrics create() {
		return new HostMetrics();
	}

	/**
	 * Counts a finished online request.
	 * @param service the service, not null
	 * @param outcome {@code completed}, {@code failed}, {@code refused} or
	 * {@code client_gone}
	 */
	public void countRequest(String service, String outcome) {
		this.requests.labelValues(service, outcome).inc();
	}

	/**
	 * Records the time to first token of a request.
	 * @param service the service, not null
	 * @param nanos the latency in nanoseconds
	 */
	public void observeFirstToken(String service, long nanos) {
		this.firstToken.labelValues(service).observe(nanos / NANOS_PER_SECOND);
	}

	/**
	 * Records the time between two tokens of a stream.
	 * @param service the service, not null
	 * @param nanos the latency in nanoseconds
	 */
	public void observeInterToken(String service, long nanos) {
		this.interToken.labelValues(service).observe(nanos / NANOS_PER_SECOND);
	}

	/**
	 * Counts tokens received from engines.
	 * @param service the service, not null
	 * @param priority {@code online} or {@code batch}
	 * @param count the number of tokens, at least 0
	 */
	public void countTokens(String service, String priority, long count) {
		this.tokens.labelValues(service, priority).inc(count);
	}

	/**
	 * Counts a finished batch item.
	 * @param service the service, not null
	 * @param outcome {@code completed}, {@code failed}, {@code cancelled},
	 * {@code unknown} or {@code returned}
	 */
	public void countBatchItem(String service, String outcome) {
		this.batchItems.labelValues(service, outcome).inc();
	}

	/**
	 * Counts an append to the log service and records its duration.
	 * @param stream the stream, not null
	 * @param outcome {@code appended}, {@code not_appended} or {@code unknown}
	 * @param duration the duration of the append, not null
	 */
	public void countAppend(String stream, String outcome, Duration duration) {
		this.appends.labelValues(stream, outcome).inc();
		this.appendTime.labelValues(stream).observe(duration.toMillis() / MILLIS_PER_SECOND);
	}

	/**
	 * Counts a request that was rejected before execution.
	 * @param code the error code of the rejection, not null
	 */
	public void countRefusal(ErrorCode code) {
		this.refusals.labelValues(code.getCode()).inc();
	}

	/**
	 * Counts a batch stream that was preempted by online work.
	 * @param upstream the upstream, not null
	 */
	public void countPreemption(String upstream) {
		this.preemptions.labelValues(upstream).inc();
	}

	/**
	 * Counts a retry, that is, any attempt after the first.
	 * @param service the service, not null
	 */
	public void countRetry(String service) {
		this.retries.labelValues(service).inc();
	}

	/**
	 * Counts a frame received from or sent to another host.
	 * @param direction {@code in} or {@code out}
	 * @param kind the frame type, not null
	 */
	public void countPeerFrame(String direction, String kind) {
		this.peerFrames.labelValues(direction, kind).inc();
	}

	/**
	 * Registers a gauge whose value is read at each scrape.
	 * @param name the name in snake case including the unit, not null, not registered yet
	 * @param help a one-sentence description, not null
	 * @param value the supplier of the value, not null; called by the scraping thread
	 */
	public void registerGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text exposition format.
	 * @return the text, never null
	 */
	public String write() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try {
			this.writer.write(output, this.registry.scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return output.toString(StandardCharsets.UTF_8);
	}

	private Counter counter(String name, String help, String... labels) {
		return Counter.builder().name(name).help(help).labelNames(labels).register(this.registry);
	}

	private Histogram histogram(String name, String help, double[] bounds, String... labels) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.classicOnly()
			.classicUpperBounds(bounds)
			.labelNames(labels)
			.register(this.registry);
	}

}
