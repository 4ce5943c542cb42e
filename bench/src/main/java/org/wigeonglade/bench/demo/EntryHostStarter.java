package org.wigeonglade.bench.demo;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.log.HttpLogService;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.online.EndpointPolicy;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Starts entry hosts in this process, as the daemon does in its own.
 */
public final class EntryHostStarter implements FleetHostStarter {

	private static final int EVENT_LOOPS = 2;

	private final Ticker ticker;

	private final Supplier<EndpointPolicy> policy;

	private EntryHostStarter(Ticker ticker, Supplier<EndpointPolicy> policy) {
		this.ticker = ticker;
		this.policy = policy;
	}

	/**
	 * Returns a starter.
	 * @param ticker the clocks of the hosts, not null
	 * @return a starter, never null
	 */
	public static EntryHostStarter create(Ticker ticker) {
		return new EntryHostStarter(ticker, () -> EndpointSelector::choose);
	}

	/**
	 * Returns a copy whose hosts choose runners in another way.
	 * @param other gives each host a policy of its own, not null
	 * @return a starter, never null
	 */
	public EntryHostStarter withPolicy(Supplier<EndpointPolicy> other) {
		return new EntryHostStarter(this.ticker, other);
	}

	@Override
	public FleetHost start(HostSettings settings, FleetConfiguration configuration) {
		Duration timeout = Duration.ofMillis(settings.getPlatform().getTimeoutMs());
		AtomicReference<Vertx> loops = new AtomicReference<>();
		EntryHost host = EntryHost.builder(settings)
			.withTicker(this.ticker)
			.withPolicy(this.policy.get())
			.withEventLoops(EVENT_LOOPS)
			.withLog((vertx) -> {
				loops.set(vertx);
				return HttpLogService.of(vertx, HttpClients.create(vertx, timeout), settings.getPlatform().getLogUrl(),
						timeout);
			})
			.build();
		host.start();
		return new RunningHost(host, loops.get());
	}

	private record RunningHost(EntryHost host, Vertx loops) implements FleetHost {

		@Override
		public boolean isReady() {
			return this.host.isReady();
		}

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

}
