package org.wigeonglade.bench.demo;

import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.host.GatewayHost;
import org.wigeonglade.platform.MachineSettings;
import org.wigeonglade.platform.PlatformAdapters;
import org.wigeonglade.standins.machines.MachineCaller;
import org.wigeonglade.standins.machines.MachineOperatorStandIn;
import org.wigeonglade.standins.machines.MachineRunnerStandIn;
import org.wigeonglade.standins.machines.MachineStoreStandIn;

/**
 * Runs gateway hosts of the users' machines against stand-ins of the platform's store,
 * the operator, runners and callers, in this process. One host stops as planned and
 * another is killed while online requests and a job run.
 */
public final class MachinesDemo {

	/** Exit code when every promise held. */
	public static final int EXIT_OK = 0;

	/** Exit code when a promise was broken. */
	public static final int EXIT_BROKEN = 1;

	private static final String SERVICE = "llm";

	private static final int HOSTS = 4;

	private static final int RUNNERS = 3;

	private static final int SLOTS = 4;

	private static final int EVENTS = 20;

	private static final long EVENT_MILLIS = 15;

	private static final int ITEMS = 40;

	private static final int REQUESTS = 200;

	/** Time in milliseconds between two online requests. */
	private static final long PAUSE_MILLIS = 40;

	/** Longest time in seconds for the start of the hosts, and for the end of the job. */
	private static final int LIMIT_SECONDS = 30;

	private final Vertx vertx = Vertx.vertx();

	private final MachineStoreStandIn store = MachineStoreStandIn.start(this.vertx, 0);

	private final List<MachineRunnerStandIn> runners = new ArrayList<>();

	private final List<GatewayHost> hosts = new ArrayList<>();

	private final Map<String, HttpResponse<String>> answers = new ConcurrentHashMap<>();

	private final AtomicInteger cut = new AtomicInteger();

	private final List<String> broken = new ArrayList<>();

	/**
	 * Runs the demo.
	 * @param out receives the report, not null
	 * @return {@value #EXIT_OK} only if every promise held
	 */
	public int run(PrintStream out) {
		try {
			start();
			MachineCaller submitter = new MachineCaller(this.hosts.get(0).getCallerAddress());
			require(submitter.submit("job", ITEMS).statusCode() == 202, "the job was not accepted");
			sendOnline();
			await(() -> submitter.results("job").getJsonArray("results", new JsonArray()).size() >= ITEMS);
			checkAnswers();
			checkResults(submitter.results("job"));
		}
		finally {
			this.hosts.forEach(GatewayHost::kill);
			this.runners.forEach(MachineRunnerStandIn::stop);
			this.store.stop();
			this.vertx.close();
		}
		Map<Integer, Long> byStatus = this.answers.values()
			.stream()
			.collect(Collectors.groupingBy(HttpResponse::statusCode, TreeMap::new, Collectors.counting()));
		out.println(HOSTS + " hosts, one stopped as planned and one killed; answers by status " + byStatus
				+ ", connections of the killed host cut " + this.cut.get() + ", items done " + ITEMS);
		this.broken.forEach((promise) -> out.println("broken: " + promise));
		out.println(this.broken.isEmpty() ? "Every promise held." : "A promise was broken.");
		return this.broken.isEmpty() ? EXIT_OK : EXIT_BROKEN;
	}

	private void start() {
		new MachineOperatorStandIn(this.store).publish(SERVICE);
		for (int i = 0; i < RUNNERS; i++) {
			MachineRunnerStandIn runner = MachineRunnerStandIn.start(this.vertx, "runner-" + i, SERVICE, SLOTS);
			runner.setEvents(EVENTS, EVENT_MILLIS);
			runner.register(this.store, "ready");
			this.runners.add(runner);
		}
		for (int i = 0; i < HOSTS; i++) {
			JsonObject file = MachineOperatorStandIn.settings("host-" + i, "zone-a", 0, 0,
					MachineOperatorStandIn.findPeerPort(), this.store.getPort());
			MachineSettings settings = MachineSettings.read(file.toBuffer().getBytes());
			GatewayHost host = new GatewayHost(settings.gateway(),
					new PlatformAdapters(settings.store(), Ticker.system()), Ticker.system(), new Random(i));
			host.start();
			this.hosts.add(host);
		}
		this.hosts.forEach((host) -> await(host::isReady));
		this.hosts.forEach((host) -> await(() -> host.getEligiblePeers() == HOSTS - 1));
	}

	// A third of the way on, the last host is stopped, two thirds on, the last but one is
	// killed. Callers go to hosts that are ready.
	private void sendOnline() {
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < REQUESTS; i++) {
				if (i == REQUESTS / 3) {
					callers.submit(this.hosts.get(HOSTS - 1)::stop);
				}
				if (i == REQUESTS * 2 / 3) {
					this.hosts.get(HOSTS - 2).kill();
				}
				GatewayHost host = chooseReady(i);
				String id = "online-" + i;
				callers.submit(() -> call(host, id));
				pause();
			}
		}
	}

	private GatewayHost chooseReady(int number) {
		List<GatewayHost> live = (number < REQUESTS / 3) ? this.hosts
				: this.hosts.subList(0, (number < REQUESTS * 2 / 3) ? HOSTS - 1 : HOSTS - 2);
		return live.get(number % live.size());
	}

	private void call(GatewayHost host, String id) {
		try {
			this.answers.put(id, new MachineCaller(host.getCallerAddress()).call("/stream/1", id,
					MachineOperatorStandIn.TIMEOUT_MILLIS));
		}
		catch (UncheckedIOException ex) {
			this.cut.incrementAndGet();
			if (host != this.hosts.get(HOSTS - 2)) {
				broken("the answer of " + id + " was cut off at a host that was not killed: " + ex.getMessage());
			}
		}
	}

	private void checkAnswers() {
		String whole = IntStream.range(0, EVENTS)
			.mapToObj((i) -> "id: " + i + "\ndata: word" + i + "\n\n")
			.collect(Collectors.joining());
		Map<String, Long> runs = new HashMap<>();
		this.runners.forEach((r) -> r.getRuns().forEach((run) -> runs.merge(run.requestId(), 1L, Long::sum)));
		this.answers.forEach((id, answer) -> {
			if (answer.statusCode() == 200) {
				require(answer.body().equals(whole), "the answer of " + id + " is not whole");
			}
			else if (answer.statusCode() == 503) {
				require(!runs.containsKey(id), id + " was refused as not run, but ran");
			}
		});
	}

	private void checkResults(JsonObject results) {
		List<String> ids = results.getJsonArray("results")
			.stream()
			.map((row) -> ((JsonObject) row).getString("id"))
			.toList();
		require(ids.size() == ITEMS && ids.stream().distinct().count() == ITEMS, "items are lost or doubled: " + ids);
		JsonObject other = new MachineCaller(this.hosts.get(1).getCallerAddress()).results("job");
		require(results.getJsonArray("results").equals(other.getJsonArray("results")),
				"two hosts tell different results");
	}

	private void require(boolean held, String promise) {
		if (!held) {
			broken(promise);
		}
	}

	private synchronized void broken(String promise) {
		this.broken.add(promise);
	}

	private static void await(BooleanSupplier condition) {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > limit) {
				throw new IllegalStateException("the demo did not go on within " + LIMIT_SECONDS + " s");
			}
			pause();
		}
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted during the demo", ex);
		}
	}

}
