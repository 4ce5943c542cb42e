package org.wigeonglade.gateway.host;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.store.KeyedStream;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Reports how far the state of this host is behind a stream: as a metric, and as events
 * when the host begins to lag and when it has caught up. Confined to the event loop,
 * apart from the metric.
 */
final class StreamAgeMonitor {

	private static final EventLogger LOG = EventLogger.of(StreamAgeMonitor.class);

	private final KeyedStream stream;

	private final StreamFollower follower;

	private final long maxAgeMillis;

	private final Ticker ticker;

	private final long startMillis;

	private volatile long ageMillis;

	private long lagStartMillis = -1;

	/**
	 * Creates a monitor and registers its metric.
	 * @param stream the stream, not null
	 * @param follower reads the stream, not null
	 * @param maxAgeMillis the age from which the host lags, in milliseconds
	 * @param registry the registry of metrics, not null
	 * @param ticker the clock, not null
	 */
	StreamAgeMonitor(KeyedStream stream, StreamFollower follower, long maxAgeMillis, PrometheusRegistry registry,
			Ticker ticker) {
		this.stream = stream;
		this.follower = follower;
		this.maxAgeMillis = maxAgeMillis;
		this.ticker = ticker;
		this.startMillis = ticker.millis();
		GaugeWithCallback.builder()
			.name("wigeonglade_stream_age_seconds")
			.help("Age of the state that is derived from a stream; time since the start before the first listing")
			.labelNames("stream")
			.callback((gauge) -> gauge.call(this.ageMillis / 1_000.0, stream.name()))
			.register(registry);
	}

	/**
	 * Updates the metric and logs a change.
	 */
	void check() {
		long now = this.ticker.millis();
		this.ageMillis = Math.min(this.follower.getAgeMillis(), now - this.startMillis);
		boolean lagging = this.ageMillis > this.maxAgeMillis;
		if (lagging && this.lagStartMillis < 0) {
			this.lagStartMillis = now - this.ageMillis;
			LOG.log(GatewayEvent.STREAM_LAGGING, this.stream, this.ageMillis, this.follower.getNextOffset(),
					this.follower.isListed(), this.follower.isReachable());
		}
		else if (!lagging && this.lagStartMillis >= 0) {
			LOG.log(GatewayEvent.STREAM_CURRENT, this.stream, now - this.lagStartMillis, this.follower.getNextOffset());
			this.lagStartMillis = -1;
		}
	}

}
