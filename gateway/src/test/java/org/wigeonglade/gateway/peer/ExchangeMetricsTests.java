package org.wigeonglade.gateway.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against datagrams that the metrics do not show.
 */
public class ExchangeMetricsTests {

	@DataProvider
	public Object[][] lines() {
		return new Object[][] { { "wigeonglade_datagrams_total{direction=\"sent\"} 2.0" },
				{ "wigeonglade_datagrams_total{direction=\"received\"} 1.0" },
				{ "wigeonglade_datagram_bytes_total{direction=\"sent\"} 300.0" },
				{ "wigeonglade_datagram_bytes_total{direction=\"received\"} 50.0" },
				{ "wigeonglade_relayed_reports_total 4.0" } };
	}

	@Test(dataProvider = "lines")
	public void datagramsAreCountedByDirection(String line) throws IOException {
		PrometheusRegistry registry = new PrometheusRegistry();
		ExchangeMetrics metrics = new ExchangeMetrics(registry);
		metrics.countSent(100);
		metrics.countSent(200);
		metrics.countReceived(50, 4);
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		PrometheusTextFormatWriter.create().write(text, registry.scrape());
		Assert.assertTrue(text.toString(StandardCharsets.UTF_8).contains(line), text.toString(StandardCharsets.UTF_8));
	}

}
