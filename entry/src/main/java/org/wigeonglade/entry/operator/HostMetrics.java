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
 * Holds the metrics of one host in its own registry, so that several hosts can run in one
 * process. All methods are thread-safe and do not block.
 */
public final class HostMetrics {

	/** Content type of {@link #write()}. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	/**
	 * Upper bounds in seconds; 0.56 s is the target of the first token.
	 */
	private static final double[] FIRST_TOKEN_BOUNDS = { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.56, 1, 2, 5, 10, 30 };

	/**
	 * Upper bounds in seconds; 32 ms is the target between two tokens.
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
	 * Returns metrics without any value.
	 * @return new metrics, never null
	 */
	public static HostMetrics create() {
		return new HostMetrics();
	}

	/**
	 * Counts an online request that ended.
	 * @param service the service, not null
	 * @param outcome {@code completed}, {@code failed}, {@code refused} or
	 * {@code client_gone}
	 */
	public void countRequest(String service, String outcome) {
		this.requests.labelValues(service, outcome).inc();
	}

	/**
	 * Observes the time to the first token.
	 * @param service the service, not null
	 * @param nanos the time in nanoseconds
	 */
	public void observeFirstToken(String service, long nanos) {
		this.firstToken.labelValues(service).observe(nanos / NANOS_PER_SECOND);
	}

	/**
	 * Observes the time between two tokens of a stream.
	 * @param service the service, not null
	 * @param nanos the time in nanoseconds
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
	 * Counts a batch item that ended.
	 * @param service the service, not null
	 * @param outcome {@code completed}, {@code failed}, {@code cancelled},
	 * {@code unknown} or {@code returned}
	 */
	public void countBatchItem(String service, String outcome) {
		this.batchItems.labelValues(service, outcome).inc();
	}

	/**
	 * Counts an append to the log service.
	 * @param stream the stream, not null
	 * @param outcome {@code appended}, {@code not_appended} or {@code unknown}
	 * @param took the duration of the append, not null
	 */
	public void countAppend(String stream, String outcome, Duration took) {
		this.appends.labelValues(stream, outcome).inc();
		this.appendTime.labelValues(stream).observe(took.toMillis() / MILLIS_PER_SECOND);
	}

	/**
	 * Counts a request that was refused before it ran.
	 * @param code the code of the refusal, not null
	 */
	public void countRefusal(ErrorCode code) {
		this.refusals.labelValues(code.getCode()).inc();
	}

	/**
	 * Counts a batch stream that was stopped for online work.
	 * @param upstream the upstream, not null
	 */
	public void countPreemption(String upstream) {
		this.preemptions.labelValues(upstream).inc();
	}

	/**
	 * Counts an attempt after the first one.
	 * @param service the service, not null
	 */
	public void countRetry(String service) {
		this.retries.labelValues(service).inc();
	}

	/**
	 * Counts a frame exchanged with another host.
	 * @param direction {@code in} or {@code out}
	 * @param kind the kind of frame, not null
	 */
	public void countPeerFrame(String direction, String kind) {
		this.peerFrames.labelValues(direction, kind).inc();
	}

	/**
	 * Registers a value that is read when the metrics are collected.
	 * @param name the name in snake case with its unit, not null, not registered yet
	 * @param help one plain sentence, not null
	 * @param value the source of the value, not null
	 */
	public void registerGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Writes all metrics in the text format of Prometheus.
	 * @return the text, never null
	 */
	public String write() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			this.writer.write(out, this.registry.scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toString(StandardCharsets.UTF_8);
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
