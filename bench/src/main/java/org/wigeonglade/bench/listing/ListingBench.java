package org.wigeonglade.bench.listing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.host.GatewayHost;
import org.wigeonglade.gateway.host.GatewaySettings;
import org.wigeonglade.gateway.job.ItemId;
import org.wigeonglade.gateway.job.ItemOutcome;
import org.wigeonglade.gateway.job.JobId;
import org.wigeonglade.gateway.job.JobRecords;
import org.wigeonglade.gateway.job.SubmittedItem;
import org.wigeonglade.gateway.job.SubmittedJob;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.platform.PlatformAdapters;
import org.wigeonglade.standins.machines.MachineCaller;
import org.wigeonglade.standins.machines.MachineOperatorStandIn;
import org.wigeonglade.standins.machines.MachineRunnerStandIn;
import org.wigeonglade.standins.machines.MachineStoreStandIn;
import org.wigeonglade.standins.net.NetworkLink;

/**
 * Starts hosts at the same moment, as after a loss of power, beside a store that holds
 * finished jobs, and measures the time until each of them gives back results. Then jobs
 * are appended at the same rate, and what the hosts read of the store is counted. All
 * hosts run in this process, each with an event loop of its own.
 */
public final class ListingBench implements AutoCloseable {

	private static final String SERVICE = "llm";

	private static final String ROUTE_HOST = "127.0.0.1";

	private static final String ROUTE_PATH = "/batch-stream/submit";

	private static final long POLL_MILLIS = 20;

	private static final int FOLLOWED_SECONDS = 5;

	private static final double MEGABYTE = 1e6;

	private final Vertx vertx = Vertx.vertx();

	private final MachineStoreStandIn store = MachineStoreStandIn.start(this.vertx, 0);

	private final MachineRunnerStandIn runner = MachineRunnerStandIn.start(this.vertx, "runner-0", SERVICE, 1);

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final List<NetworkLink> links = new ArrayList<>();

	private final List<GatewayHost> hosts = new ArrayList<>();

	private final ListingOptions options;

	private final Random random = new Random(1);

	private long storedBytes;

	private int jobs;

	private ListingBench(ListingOptions options) {
		this.options = options;
	}

	/**
	 * Runs a measurement.
	 * @param options its size, not null
	 * @return the figures
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static JsonObject run(ListingOptions options) throws InterruptedException {
		try (ListingBench bench = new ListingBench(options)) {
			return bench.measure();
		}
	}

	@Override
	public void close() {
		this.hosts.forEach(GatewayHost::kill);
		this.links.forEach(NetworkLink::stop);
		this.scheduler.shutdownNow();
		this.runner.stop();
		this.store.stop();
		this.vertx.close();
	}

	private JsonObject measure() throws InterruptedException {
		new MachineOperatorStandIn(this.store).publish(SERVICE);
		this.runner.register(this.store, "ready");
		while (this.jobs < this.options.getStoredJobs()) {
			storeJob();
		}
		JsonObject report = new JsonObject().put("hosts", this.options.hosts())
			.put("jobs", this.jobs)
			.put("stored_mb", megabytes(this.storedBytes));
		this.store.setReadRate(Math.round(this.options.storeMegabytes() * MEGABYTE));
		long start = System.nanoTime();
		startHosts();
		List<Long> millis = awaitResults(start, "job-" + (this.jobs - 1));
		report.put("hosts_with_results", millis.size())
			.put("results_after_ms", new JsonArray(millis))
			.put("listed_mb_per_host", megabytes(this.store.getBytesRead() / this.options.hosts()));
		if (millis.size() == this.options.hosts()) {
			report.put("followed_mb_per_second_and_host", measureFollowing());
		}
		return report;
	}

	private void startHosts() {
		for (int i = 0; i < this.options.hosts(); i++) {
			NetworkLink link = NetworkLink.start(this.vertx, this.scheduler, this.store.getPort(), 0);
			link.setRate(Math.round(this.options.linkMegabits() * MEGABYTE / Byte.SIZE));
			this.links.add(link);
			InetSocketAddress anyPort = new InetSocketAddress(ROUTE_HOST, 0);
			GatewaySettings settings = new GatewaySettings(HostId.of("host-" + i), FailureDomain.of("domain-" + i % 3),
					anyPort, anyPort, new InetSocketAddress(ROUTE_HOST, MachineOperatorStandIn.findPeerPort()), anyPort,
					Duration.ofSeconds(8), Duration.ofMinutes(2), Optional.empty(), false);
			GatewayHost host = new GatewayHost(settings,
					new PlatformAdapters(new InetSocketAddress(ROUTE_HOST, link.port()), Ticker.system()),
					Ticker.system(), new Random(i));
			host.start();
			this.hosts.add(host);
		}
	}

	// The hosts that have no results within the limit are left out.
	private List<Long> awaitResults(long start, String job) {
		long deadline = start + TimeUnit.SECONDS.toNanos(this.options.limitSeconds());
		List<CompletableFuture<Long>> times = this.hosts.stream()
			.map((host) -> CompletableFuture.supplyAsync(() -> awaitResults(host, job, start, deadline),
					Thread::startVirtualThread))
			.toList();
		return times.stream()
			.map(CompletableFuture::join)
			.filter((millis) -> millis >= 0)
			.sorted(Comparator.naturalOrder())
			.collect(Collectors.toCollection(ArrayList::new));
	}

	private static long awaitResults(GatewayHost host, String job, long start, long deadline) {
		MachineCaller caller = new MachineCaller(host.getCallerAddress());
		while (System.nanoTime() - deadline < 0) {
			if (!caller.results(job).getJsonArray("results", new JsonArray()).isEmpty()) {
				return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			}
			pause(POLL_MILLIS);
		}
		return -1;
	}

	private double measureFollowing() {
		long before = this.store.getBytesRead();
		long start = System.nanoTime();
		int first = this.jobs;
		for (double elapsed = 0; elapsed < FOLLOWED_SECONDS; elapsed = (System.nanoTime() - start) / 1e9) {
			while (this.jobs - first < elapsed * this.options.jobsPerSecond()) {
				storeJob();
			}
			pause(POLL_MILLIS);
		}
		double seconds = (System.nanoTime() - start) / 1e9;
		return megabytes(Math.round((this.store.getBytesRead() - before) / seconds / this.options.hosts()));
	}

	private void storeJob() {
		JobId job = JobId.of("job-" + this.jobs++);
		List<SubmittedItem> items = IntStream.range(0, this.options.items())
			.mapToObj((i) -> new SubmittedItem(ItemId.of(job + "-" + i), "/batch-stream/1",
					List.of(Map.entry("Model", "m")), randomText(this.options.bodyBytes()), 10))
			.toList();
		JobRecords.write(new SubmittedJob(job, ROUTE_HOST, ROUTE_PATH, System.currentTimeMillis(), items))
			.forEach(this::put);
		for (SubmittedItem item : items) {
			ItemOutcome outcome = new ItemOutcome(item.id(), true,
					ByteString.copyFrom(randomText(this.options.outputBytes())));
			put(JobRecords.write(job, outcome, "", "bench.1"));
		}
	}

	private void put(KeyedRecord record) {
		this.storedBytes += record.size();
		this.store.put(MachineStoreStandIn.GATEWAY_TOPIC, record.key(), record.value());
	}

	private byte[] randomText(int bytes) {
		byte[] text = new byte[bytes];
		for (int i = 0; i < bytes; i++) {
			text[i] = (byte) ('a' + this.random.nextInt(26));
		}
		return text;
	}

	private static double megabytes(long bytes) {
		return Math.round(bytes / MEGABYTE * 1_000) / 1_000.0;
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted during a measurement", ex);
		}
	}

}
