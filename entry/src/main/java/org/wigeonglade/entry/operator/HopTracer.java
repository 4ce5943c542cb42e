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
 * Tracer that creates one OpenTelemetry span for each hop of a request. The trace context
 * is propagated as a W3C {@code traceparent}; spans are exported over OTLP if the
 * settings name an endpoint. Each host has its own tracer. Thread-safe.
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
	 * Creates the tracer of a host. Without an OTLP endpoint in the settings it
	 * propagates the trace context but exports no spans.
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
	 * Starts the span of a hop.
	 * @param name the kind of hop, such as {@code caller}, {@code upstream} or
	 * {@code peer}
	 * @param traceParent the W3C {@code traceparent} of the previous hop; null, empty or
	 * malformed starts a new trace
	 * @return the started hop, which must be ended exactly once
	 */
	public HopSpan start(String name, String traceParent) {
		Context parent = (traceParent != null && !traceParent.isEmpty())
				? W3CTraceContextPropagator.getInstance().extract(Context.root(), traceParent, GETTER) : Context.root();
		return new HopSpan(this.tracer.spanBuilder(name).setParent(parent).startSpan());
	}

	/**
	 * Stops the tracer; waits up to two seconds for the export of pending spans.
	 */
	@Override
	public void close() {
		this.provider.shutdown().join(EXPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Span of one hop. Attributes may be set from any thread, but only one thread may end
	 * the span.
	 */
	public static final class HopSpan {

		private final Span span;

		private HopSpan(Span span) {
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
		 * Sets an attribute of the span.
		 * @param key the name of the attribute, not null
		 * @param value the value, not null
		 */
		public void setAttribute(String key, String value) {
			this.span.setAttribute(AttributeKey.stringKey(key), value);
		}

		/**
		 * Ends the span with error status and records the exception.
		 * @param cause the exception, not null
		 */
		public void fail(Throwable cause) {
			this.span.setStatus(StatusCode.ERROR, cause.getClass().getSimpleName());
			this.span.recordException(cause);
			this.span.end();
		}

		/**
		 * Ends the span without changing its status.
		 */
		public void end() {
			this.span.end();
		}

	}

	/**
	 * Treats a plain string as a carrier that contains only {@code traceparent}.
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
