package org.wigeonglade.bench.fleet;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.entry.control.ConfigurationDraft;
import org.wigeonglade.entry.control.ControlOptions;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.PlatformSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;
import org.wigeonglade.standins.hosts.HostListStandIn;
import org.wigeonglade.standins.log.LogStandIn;

/**
 * Measures one size of the fleet.
 */
final class FleetRun implements AutoCloseable {

	private static final Duration WAIT = Duration.ofSeconds(60);

	private static final int RUNNERS = 12;

	private static final double MEGA = 1 << 20;

	private static final String BODY = """
			{"profiles":[{"name":"counter","words":"Someone waits at a counter.","priority":"online",
			"idempotent":true}],"services":[{"name":"runokieli","kind":"model","profile":"counter"}],
			"workspaces":[]}""";

	private final FleetOptions options;

	private final Vertx standIns = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

	private final Vertx clients = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());

	private final LogStandIn log;

	private final HostListStandIn list;

	private final ThreadCost standInCost;

	private final List<FleetHost> hosts = new ArrayList<>();

	FleetRun(FleetOptions options) {
		this.options = options;
		this.log = LogStandIn.builder().vertx(this.standIns).start();
		this.list = HostListStandIn.start(this.standIns, 0);
		this.standInCost = ThreadCost.of(this.standIns, 2);
	}

	static ControlOptions getOptions() {
		return ControlOptions.of(new HostSettings().withTiming(new TimingSettings())
			.withPlatform(new PlatformSettings().withTimeoutMs(1000)));
	}

	FleetPoint measure(int count) throws InterruptedException {
		double heapBefore = getLiveHeap();
		startHosts(count);
		publish(0, 0);
		double heapMb = (getLiveHeap() - heapBefore) / count / MEGA;
		// A host runs for days; the first seconds are spent on compiling its code.
		TimeUnit.NANOSECONDS.sleep(this.options.warmUp().toNanos());
		long bytes = getBytes();
		long cpu = getCpuNanos();
		long start = System.nanoTime();
		TimeUnit.NANOSECONDS.sleep(this.options.idle().toNanos());
		double seconds = (System.nanoTime() - start) / 1e9;
		double cpuPercent = (getCpuNanos() - cpu) / 1e9 / seconds / count * 100;
		double bytesPerSecond = (getBytes() - bytes) / seconds / count;
		double config = publishMany(1, count);
		this.hosts.forEach((h) -> h.cutFromPlatform(h != this.hosts.get(0)));
		double withoutPlatform = publishMany(1 + this.options.publications(), 1);
		this.hosts.forEach((h) -> h.cutFromPlatform(false));
		LeavingProbe probe = new LeavingProbe(this.hosts, "runner-0");
		probe.run(() -> this.list.markLeaving("runner-0"));
		return new FleetPoint(count, config, withoutPlatform, probe.getLastWorkMillis(), probe.getCutRequests(),
				round(cpuPercent), Math.round(bytesPerSecond), round(heapMb), count - 1, false)
			.withVerdict();
	}

	@Override
	public void close() {
		this.hosts.forEach(FleetHost::close);
		this.list.stop();
		this.log.stop();
		this.clients.close().await();
		this.standIns.close().await();
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private void startHosts(int count) {
		for (int i = 0; i < RUNNERS; i++) {
			this.list.putNow(new ListedHost("runner-" + i, HostRole.RUNNER, "127.0.0.1:" + (1 + i), "domain-a",
					"region-a", "runokieli", List.of("runo"), 1, false));
		}
		for (int i = 0; i < count; i++) {
			FleetHost host = new FleetHost(i, this.options.upstreams(), this.loops, this.clients, this.log.url(),
					this.list.url());
			this.hosts.add(host);
			this.list.putNow(new ListedHost(host.getId().value(), HostRole.ENTRY, host.getAddress(), "domain-a",
					"region-a", "", List.of(), 1, false));
		}
		this.hosts.forEach((h) -> h.getControl().start());
		waitFor(() -> this.hosts.stream()
			.allMatch((h) -> h.getControl().isReady()
					&& h.getControl().getFleetViewSource().current().hosts().size() == count));
	}

	// Publishes versions from the hosts in turn and returns the longest time.
	private double publishMany(long firstBase, int publishers) throws InterruptedException {
		double longest = 0;
		for (int i = 0; i < this.options.publications(); i++) {
			longest = Math.max(longest, publish((7 * i) % publishers, firstBase + i));
			// The next change begins at another phase of the digests and polls.
			TimeUnit.MILLISECONDS.sleep(130);
		}
		return longest;
	}

	private double publish(int publisher, long base) {
		long version = base + 1;
		long start = System.nanoTime();
		this.hosts.get(publisher)
			.getControl()
			.publish(new ConfigurationDraft(base, "bench", "measures the spread", BODY.getBytes(StandardCharsets.UTF_8),
					0))
			.await()
			.atMost(WAIT);
		waitFor(() -> this.hosts.stream().allMatch((h) -> h.getInForceNanos(version) != null));
		long last = this.hosts.stream().mapToLong((h) -> h.getInForceNanos(version)).max().orElseThrow();
		return round((last - start) / 1e6);
	}

	private long getBytes() {
		return this.hosts.stream().mapToLong(FleetHost::getBytes).sum();
	}

	// The processor time of the whole process without the stand-ins.
	private long getCpuNanos() {
		OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
		return system.getProcessCpuTime() - this.standInCost.getNanos();
	}

	private static double getLiveHeap() {
		System.gc();
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	private static double round(double value) {
		return Math.round(value * 100) / 100.0;
	}

	private static void waitFor(BooleanSupplier condition) {
		long end = System.nanoTime() + WAIT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new PlatformException(ErrorCode.INTERNAL, "the fleet did not settle within " + WAIT, null);
			}
			try {
				TimeUnit.MILLISECONDS.sleep(2);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new PlatformException(ErrorCode.INTERNAL, "interrupted", ex);
			}
		}
	}

}
