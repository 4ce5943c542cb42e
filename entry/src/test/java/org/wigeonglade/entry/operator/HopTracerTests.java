package org.wigeonglade.entry.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against spans of one request that are not linked to each other, and against a
 * sampling decision of the caller that is ignored.
 */
public class HopTracerTests implements SpanExporter {

	private static final String PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-";

	private final List<SpanData> spans = new ArrayList<>();

	@Test
	public void hopsContinueTheTraceOfTheCaller() {
		try (HopTracer tracer = HopTracer.create("entry-1", 0, SimpleSpanProcessor.create(this))) {
			HopTracer.HopSpan caller = tracer.start("caller", PARENT + "01");
			HopTracer.HopSpan upstream = tracer.start("upstream", caller.getTraceParent());
			Assert.assertTrue(upstream.getTraceParent().startsWith("00-0af7651916cd43dd8448eb211c80319c-"));
			upstream.fail(new IllegalStateException("lost"));
			caller.end();
			tracer.start("unsampled", PARENT + "00").end();
			tracer.start("malformed", "zzz").end();
		}
		Assert.assertEquals(this.spans.stream().map(SpanData::getName).toList(), List.of("upstream", "caller"));
		Assert.assertEquals(this.spans.get(0).getParentSpanId(), this.spans.get(1).getSpanId());
		Assert.assertEquals(this.spans.get(1).getParentSpanId(), "b7ad6b7169203331");
	}

	@Override
	public CompletableResultCode export(Collection<SpanData> exported) {
		this.spans.addAll(exported);
		return CompletableResultCode.ofSuccess();
	}

	@Override
	public CompletableResultCode flush() {
		return CompletableResultCode.ofSuccess();
	}

	@Override
	public CompletableResultCode shutdown() {
		return CompletableResultCode.ofSuccess();
	}

}
