package org.wigeonglade.bench.overhead;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wigeonglade.bench.client.Answer;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.demo.FleetConfigurations;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.PlatformSettings;
import org.wigeonglade.standins.engine.EngineStandIn;

/**
 * Sends the same requests to a runner and through an entry host, in turn, and compares
 * the times to the first token. Processor time is that of the threads of the host alone.
 */
public final class OverheadBench {

	/** Largest latency that the host may add at p99, in milliseconds. */
	private static final double TARGET_MS = 1;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int MAX_TOKENS = 32;

	private static final int SLOTS = 512;

	private static final int WARM_UP = 1000;

	private static final long MAX_MICROS = 60_000_000;

	private static final String EVENT_LOOP = "vert.x-eventloop";

	private final Deployment deployment = Deployment.MUISTOPUU;

	private final Vertx vertx = Vertx.vertx();

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	private final int requestsPerSecond;

	private final int seconds;

	private OverheadBench(int requestsPerSecond, int seconds) {
		this.requestsPerSecond = requestsPerSecond;
		this.seconds = seconds;
	}

	/**
	 * Returns a bench.
	 * @param requestsPerSecond the requests through the host each second, at least 1
	 * @param seconds the time of the comparison, at least 1
	 * @return a bench, never null
	 */
	public static OverheadBench of(int requestsPerSecond, int seconds) {
		return new OverheadBench(Math.max(1, requestsPerSecond), Math.max(1, seconds));
	}

	/**
	 * Runs the comparison.
	 * @return the figures; {@code ok} is true only if the target was met
	 */
	public JsonObject run() {
		EngineStandIn engine = EngineStandIn.builder()
			.slots(SLOTS)
			.tokenMicros(1000)
			.prefillMicrosPerToken(0)
			.vertx(this.vertx)
			.start();
		ServingClient client = ServingClient.of(this.vertx, FleetConfigurations.API_KEY);
		saturate(client, engine.port(), WARM_UP, 8);
		Set<Long> others = eventLoops();
		EntryHost host = host(engine);
		host.start();
		try {
			saturate(client, host.getCallerPort(), WARM_UP, 8);
			Set<Long> own = eventLoops();
			own.removeAll(others);
			return measure(client, engine.port(), host.getCallerPort(), own);
		}
		finally {
			host.kill();
			engine.stop();
			this.vertx.close();
		}
	}

	private JsonObject measure(ServingClient client, int direct, int through, Set<Long> own) {
		Histogram directTimes = new ConcurrentHistogram(MAX_MICROS, 3);
		Histogram throughTimes = new ConcurrentHistogram(MAX_MICROS, 3);
		long cpu = cpuNanos(own);
		compare(client, direct, through, directTimes, throughTimes);
		double pacedCpu = (cpuNanos(own) - cpu) / 1e9;
		cpu = cpuNanos(own);
		int count = this.requestsPerSecond * this.seconds;
		int whole = saturate(client, through, count, 32);
		double busy = (cpuNanos(own) - cpu) / 1e9;
		double added = millis(throughTimes, 99) - millis(directTimes, 99);
		return new JsonObject().put("requests_per_s", this.requestsPerSecond)
			.put("direct_p50_ms", millis(directTimes, 50))
			.put("direct_p99_ms", millis(directTimes, 99))
			.put("through_p50_ms", millis(throughTimes, 50))
			.put("through_p99_ms", millis(throughTimes, 99))
			.put("added_p50_ms", millis(throughTimes, 50) - millis(directTimes, 50))
			.put("added_p99_ms", added)
			.put("samples", throughTimes.getTotalCount())
			.put("cpu_share_paced", pacedCpu / this.seconds)
			.put("requests_per_s_per_core", whole / busy)
			.put("ok", added <= TARGET_MS && whole == count);
	}

	// Sends one request to the runner and one through the host at each step.
	private void compare(ServingClient client, int direct, int through, Histogram directTimes, Histogram throughTimes) {
		int steps = this.requestsPerSecond * this.seconds;
		Semaphore done = new Semaphore(0);
		long start = System.nanoTime();
		for (int i = 0; i < steps; i++) {
			sleepUntil(start + (long) (i * 1e9 / this.requestsPerSecond));
			boolean directFirst = i % 2 == 0;
			send(client, directFirst ? direct : through, "step " + i, directFirst ? directTimes : throughTimes, done);
			sleepUntil(start + (long) ((i + 0.5) * 1e9 / this.requestsPerSecond));
			send(client, directFirst ? through : direct, "step " + i, directFirst ? throughTimes : directTimes, done);
		}
		done.acquireUninterruptibly(2 * steps);
	}

	private void send(ServingClient client, int port, String prompt, Histogram times, Semaphore done) {
		client.complete(port, body(prompt), Map.of(), TIMEOUT).answer().onComplete((answer) -> {
			if (answer.succeeded() && answer.result().isWhole()) {
				Answer whole = answer.result();
				times.recordValue(Math.min(MAX_MICROS, (whole.firstTokenNanos() - whole.sentNanos()) / 1000));
			}
			done.release();
		});
	}

	private int saturate(ServingClient client, int port, int count, int inFlight) {
		Semaphore free = new Semaphore(inFlight);
		AtomicInteger whole = new AtomicInteger();
		for (int i = 0; i < count; i++) {
			free.acquireUninterruptibly();
			client.complete(port, body("load " + i), Map.of(), TIMEOUT).answer().onComplete((answer) -> {
				whole.addAndGet((answer.succeeded() && answer.result().isWhole()) ? 1 : 0);
				free.release();
			});
		}
		free.acquireUninterruptibly(inFlight);
		return whole.get();
	}

	private JsonObject body(String prompt) {
		return new JsonObject().put("model", this.deployment.modelService())
			.put("prompt", prompt)
			.put("max_tokens", MAX_TOKENS);
	}

	private EntryHost host(EngineStandIn engine) {
		FailureDomain domain = FailureDomain.of(this.deployment.domainOf(0));
		Region region = Region.of(this.deployment.region());
		HostMember self = new HostMember(HostId.of("entry-0"), 1, domain, region, "127.0.0.1:0", false, 0, 0);
		UpstreamMember runner = new UpstreamMember(UpstreamId.of("runner-0"), 1,
				ServiceName.of(this.deployment.modelService()), domain, region, engine.address(), true, List.of(),
				false);
		FleetView view = new FleetView(List.of(self), List.of(runner), true);
		HostSettings settings = new HostSettings().withHost("entry-0")
			.withFailureDomain(domain.value())
			.withRegion(region.value())
			.withCallerAddress("127.0.0.1:0")
			.withOperatorAddress("127.0.0.1:0")
			.withPeerAddress("127.0.0.1:0")
			.withPlatform(
					new PlatformSettings().withLogUrl("http://127.0.0.1:9").withHostListUrl("http://127.0.0.1:9"));
		return EntryHost.builder(settings)
			.withInitialConfiguration(
					FleetConfigurations.of(this.deployment, List.of(this.deployment.modelService()), 200))
			.withFleet(() -> view)
			.build();
	}

	private Set<Long> eventLoops() {
		Set<Long> ids = new HashSet<>();
		for (ThreadInfo info : this.threads.getThreadInfo(this.threads.getAllThreadIds())) {
			if (info != null && info.getThreadName().startsWith(EVENT_LOOP)) {
				ids.add(info.getThreadId());
			}
		}
		return ids;
	}

	private long cpuNanos(Set<Long> ids) {
		long sum = 0;
		for (long id : ids) {
			sum += Math.max(0, this.threads.getThreadCpuTime(id));
		}
		return sum;
	}

	private static void sleepUntil(long nanos) {
		long left = nanos - System.nanoTime();
		if (left > 0) {
			LockSupport.parkNanos(left);
		}
	}

	private static double millis(Histogram times, double percentile) {
		return times.getValueAtPercentile(percentile) / 1000.0;
	}

}
