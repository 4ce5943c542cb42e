package org.wigeonglade.entry.operator;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TracingSettings;

/**
 * Creates one span for each hop of a request. The trace context comes in and goes out as
 * a W3C {@code traceparent}; spans are exported by OTLP where the settings name an
 * endpoint. Each host has its own tracer. Thread-safe.
 */
public final class HopTracer implements AutoCloseable {

	private static final String TRACE_PARENT = "traceparent";

	private static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(2);

	private static final TextMapGetter<String> GETTER = new TraceParentGetter();

	private final SdkTracerProvider provider;

	private final Tracer tracer;

	private HopTracer(SdkTracerProvider provider) {
		this.provider = provider;
		this.tracer = provider.get("org.wigeonglade");
	}

	/**
	 * Returns a tracer for a host.
	 * @param settings the settings of the host, not null
	 * @return a new tracer, never null
	 */
	public static HopTracer create(HostSettings settings) {
		TracingSettings tracing = (settings.getTracing() != null) ? settings.getTracing() : new TracingSettings();
		SpanProcessor processor = null;
		if (tracing.getOtlpEndpoint() != null) {
			OtlpHttpSpanExporter exporter = OtlpHttpSpanExporter.builder()
				.setEndpoint(tracing.getOtlpEndpoint())
				.setTimeout(EXPORT_TIMEOUT)
				.build();
			processor = BatchSpanProcessor.builder(exporter).build();
		}
		return create(settings.getHost(), tracing.getSampleRatio(), processor);
	}

	static HopTracer create(String host, double sampleRatio, SpanProcessor processor) {
		SdkTracerProviderBuilder builder = SdkTracerProvider.builder()
			.setResource(Resource.builder().put("service.name", "wigeonglade").put("host.name", host).build())
			.setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio)));
		if (processor != null) {
			builder.addSpanProcessor(processor);
		}
		return new HopTracer(builder.build());
	}

	/**
	 * Starts a span.
	 * @param name the kind of hop, such as {@code caller}, {@code upstream} or
	 * {@code peer}
	 * @param traceParent the W3C {@code traceparent} of the previous hop; null, empty or
	 * malformed starts a new trace
	 * @return the running hop, to be ended exactly once
	 */
	public Hop start(String name, String traceParent) {
		Context parent = (traceParent != null && !traceParent.isEmpty())
				? W3CTraceContextPropagator.getInstance().extract(Context.root(), traceParent, GETTER) : Context.root();
		return new Hop(this.tracer.spanBuilder(name).setParent(parent).startSpan());
	}

	/**
	 * Exports what is pending, within two seconds, and stops the export.
	 */
	@Override
	public void close() {
		this.provider.shutdown().join(EXPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Span of one hop. Not thread-safe for concurrent ends; attributes may be set from
	 * any thread.
	 */
	public static final class Hop {

		private final Span span;

		private Hop(Span span) {
			this.span = span;
		}

		/**
		 * Returns the trace context for the next hop.
		 * @return a W3C {@code traceparent}, never null
		 */
		public String getTraceParent() {
			Map<String, String> carrier = new HashMap<>();
			W3CTraceContextPropagator.getInstance()
				.inject(Context.root().with(this.span), carrier, (map, key, value) -> map.put(key, value));
			return carrier.getOrDefault(TRACE_PARENT, "");
		}

		/**
		 * Sets an attribute.
		 * @param key the name, not null
		 * @param value the value, not null
		 */
		public void setAttribute(String key, String value) {
			this.span.setAttribute(AttributeKey.stringKey(key), value);
		}

		/**
		 * Ends the span as failed.
		 * @param cause the failure, not null
		 */
		public void fail(Throwable cause) {
			this.span.setStatus(StatusCode.ERROR, cause.getClass().getSimpleName());
			this.span.recordException(cause);
			this.span.end();
		}

		/**
		 * Ends the span.
		 */
		public void end() {
			this.span.end();
		}

	}

	/**
	 * Reads the one key of a trace context that is given as text.
	 */
	private static final class TraceParentGetter implements TextMapGetter<String> {

		@Override
		public Iterable<String> keys(String carrier) {
			return List.of(TRACE_PARENT);
		}

		@Override
		public String get(String carrier, String key) {
			return (TRACE_PARENT.equals(key)) ? carrier : null;
		}

	}

}
