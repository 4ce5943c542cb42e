package org.wigeonglade.bench.demo;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.wigeonglade.adapters.engine.HttpEngineClient;
import org.wigeonglade.adapters.hosts.HttpHostDirectory;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.service.HttpServiceClient;
import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.online.UpstreamClients;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Starts entry hosts in this process, as the daemon does in its own.
 */
public final class EntryHostStarter implements FleetHostStarter {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final int EVENT_LOOPS = 2;

	private final Ticker ticker;

	private EntryHostStarter(Ticker ticker) {
		this.ticker = ticker;
	}

	/**
	 * Returns a starter.
	 * @param ticker the clocks of the hosts, not null
	 * @return a starter, never null
	 */
	public static EntryHostStarter create(Ticker ticker) {
		return new EntryHostStarter(ticker);
	}

	@Override
	public FleetHost start(HostSettings settings, FleetConfiguration configuration) {
		Duration timeout = Duration.ofMillis(settings.getPlatform().getTimeoutMs());
		AtomicReference<Vertx> loops = new AtomicReference<>();
		EntryHost host = EntryHost.builder(settings)
			.withTicker(this.ticker)
			.withEventLoops(EVENT_LOOPS)
			.withInitialConfiguration(configuration)
			.withDirectory((vertx) -> HttpHostDirectory.of(vertx, HttpClients.create(vertx, CONNECT_TIMEOUT),
					settings.getPlatform().getHostListUrl(), timeout))
			.withClients((vertx) -> {
				loops.set(vertx);
				return new HttpUpstreamClients(vertx);
			})
			.build();
		host.start();
		return new RunningHost(host, loops.get());
	}

	private record RunningHost(EntryHost host, Vertx loops) implements FleetHost {

		@Override
		public int callerPort() {
			return this.host.getCallerPort();
		}

		@Override
		public int operatorPort() {
			return this.host.getOperatorPort();
		}

		@Override
		public int peerPort() {
			return this.host.getPeerPort();
		}

		@Override
		public void pause(long millis) {
			CountDownLatch ended = new CountDownLatch(EVENT_LOOPS);
			for (int i = 0; i < EVENT_LOOPS; i++) {
				// Contexts are assigned to the event loops in turn.
				this.loops.getOrCreateContext().runOnContext((ignored) -> {
					LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
					ended.countDown();
				});
			}
			try {
				ended.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		@Override
		public void stop() {
			this.host.stop();
		}

		@Override
		public void kill() {
			this.host.kill();
		}

	}

	private static final class HttpUpstreamClients implements UpstreamClients {

		private final Vertx vertx;

		private final HttpClient online;

		private final HttpClient batch;

		private HttpUpstreamClients(Vertx vertx) {
			this.vertx = vertx;
			this.online = HttpClients.create(vertx, CONNECT_TIMEOUT);
			this.batch = HttpClients.create(vertx, CONNECT_TIMEOUT);
		}

		@Override
		public EngineClient engine(UpstreamMember runner, LinkPurpose purpose) {
			HttpClient client = (purpose == LinkPurpose.BATCH) ? this.batch : this.online;
			return HttpEngineClient.of(this.vertx, client, runner.address());
		}

		@Override
		public ServiceClient service(UpstreamMember instance) {
			return HttpServiceClient.of(this.vertx, this.online, instance.address());
		}

	}

}
