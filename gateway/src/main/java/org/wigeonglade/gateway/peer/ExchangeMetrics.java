package org.wigeonglade.gateway.peer;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;

/**
 * Prometheus metrics of the datagrams between hosts. They are counted on the event loop
 * and may be read on any thread.
 */
public final class ExchangeMetrics {

	private final Count sent = new Count();

	private final Count received = new Count();

	private volatile long relayedReports;

	/**
	 * Registers the metrics.
	 * @param registry the registry, not null
	 */
	public ExchangeMetrics(PrometheusRegistry registry) {
		CounterWithCallback.builder()
			.name("wigeonglade_datagrams_total")
			.help("Datagrams exchanged with other hosts")
			.labelNames("direction")
			.callback((counter) -> {
				counter.call(this.sent.datagrams, "sent");
				counter.call(this.received.datagrams, "received");
			})
			.register(registry);
		CounterWithCallback.builder()
			.name("wigeonglade_datagram_bytes_total")
			.help("Content of the datagrams exchanged with other hosts")
			.unit(Unit.BYTES)
			.labelNames("direction")
			.callback((counter) -> {
				counter.call(this.sent.bytes, "sent");
				counter.call(this.received.bytes, "received");
			})
			.register(registry);
		CounterWithCallback.builder()
			.name("wigeonglade_relayed_reports_total")
			.help("Changes of other hosts that were received by way of a relaying host")
			.callback((counter) -> counter.call(this.relayedReports))
			.register(registry);
	}

	void countSent(int bytes) {
		this.sent.add(bytes);
	}

	void countReceived(int bytes, int relayed) {
		this.received.add(bytes);
		this.relayedReports += relayed;
	}

	/**
	 * Datagrams in one direction. Written by a single thread.
	 */
	private static final class Count {

		private volatile long datagrams;

		private volatile long bytes;

		private void add(int length) {
			this.datagrams += 1;
			this.bytes += length;
		}

	}

}
