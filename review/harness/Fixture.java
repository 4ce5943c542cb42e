package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment: store, operator, runners, machines and clients, and the record. */
final class Fixture {

	static final String HOST = "labels.example";

	static final String SERVICE = "rotulo";

	/** Items of a job, and bytes of the body of each: 350 tokens of 1 byte. */
	static final int ITEMS = 10;

	static final int BODY_BYTES = 350;

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	final Store store = new Store();

	final List<Runner> runners = new ArrayList<>();

	final List<Machine> machines = new ArrayList<>();

	final Path folder;

	final PrintWriter record;

	private final long startedMillis = System.currentTimeMillis();

	private int version;

	/** A scenario; returns whether the rule held. */
	interface Scenario {

		boolean run(Fixture fixture) throws Exception;

	}

	private Fixture(Path caseFolder) throws IOException {
		this.folder = Files.createTempDirectory("wigeonglade-review");
		this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
	}

	/** Runs a scenario and exits with 0, 1 or 2. */
	static void main(String[] args, Scenario scenario) throws Exception {
		Fixture fixture = new Fixture(Path.of(args[0]));
		Runtime.getRuntime().addShutdownHook(new Thread(Fixture::endProcesses));
		Thread watchdog = new Thread(() -> {
			sleepQuietly(112_000);
			fixture.log("the case did not end in time");
			Runtime.getRuntime().exit(2);
		});
		watchdog.setDaemon(true);
		watchdog.start();
		int status = 2;
		try {
			fixture.log(TROUBLE ? "with the disruption" : "without the disruption");
			boolean held = scenario.run(fixture);
			status = held ? 0 : 1;
			fixture.log(held ? "RESULT the rule held" : "RESULT the rule was broken");
		}
		catch (Throwable ex) {
			fixture.log("RESULT the case could not run: " + ex);
			ex.printStackTrace();
		}
		endProcesses();
		if (System.getenv("REVIEW_KEEP") == null) {
			try (Stream<Path> files = Files.walk(fixture.folder)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
			catch (IOException ex) {
				System.err.println("the temporary folder could not be removed: " + ex);
			}
		}
		else {
			System.err.println(fixture.folder);
		}
		Runtime.getRuntime().halt(status);
	}

	private static void endProcesses() {
		Machine.PROCESSES.forEach((process) -> {
			process.destroyForcibly();
			try {
				process.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	static void sleepQuietly(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	synchronized void log(String text) {
		String line = String.format("%7.3f %s", (System.currentTimeMillis() - this.startedMillis) / 1_000.0, text);
		this.record.println(line);
		System.out.println(line);
	}

	/** Starts a deployment with the given numbers of machines and runners. */
	void start(int machineCount, int runnerCount, int slots, List<Map<String, Object>> routes) throws Exception {
		for (int i = 0; i < runnerCount; i++) {
			Runner runner = new Runner("i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 16), SERVICE, slots);
			this.runners.add(runner);
		}
		Thread.ofVirtual().start(() -> {
			while (true) {
				this.runners.forEach((runner) -> runner.register(this.store, "zone-a"));
				sleepQuietly(1_200);
			}
		});
		publish(routes);
		for (int i = 0; i < machineCount; i++) {
			Machine machine = new Machine(this.store, this.folder, "edge-" + (i + 1), "127.0.0." + (11 + i), "zone-a");
			this.machines.add(machine);
			machine.start();
		}
		await("all machines to be ready", 30_000, () -> this.machines.stream().allMatch(Machine::isReady));
		Thread.sleep(4_000);
		log(machineCount + " machines and " + runnerCount + " runners are ready");
	}

	/** Publishes a configuration with the next version. */
	void publish(List<Map<String, Object>> routes) {
		this.version += 3;
		Map<String, Object> config = new LinkedHashMap<>();
		config.put("version", this.version);
		config.put("routes", routes);
		config.put("backends", List.of(Map.of("name", SERVICE, "health-path", "/healthz", "max-connections", 200,
				"protocol", "h1", "tls", false)));
		config.put("limits", Map.of("max-header-bytes", 16384, "max-body-bytes", 4194304, "header-timeout-ms", 3000,
				"idle-timeout-ms", 15000));
		this.store.put("keyed.op", "config", Json.write(config));
		log("operator: version " + this.version + " with " + routes.size() + " routes is acknowledged");
	}

	static Map<String, Object> route(String name, String type, int attempts) {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("name", "r-" + name);
		route.put("hostname", HOST);
		route.put("path-prefix", "/" + name + "/");
		route.put("route-type", type);
		route.put("timeout-ms", type.equals("batch") ? 15000 : 5000);
		route.put("target-latency-ms", 400);
		route.put("priority", 0);
		route.put("backend", SERVICE);
		route.put("max-attempts", attempts);
		if (type.equals("batch")) {
			route.put("completion-target-ms", 18000);
			route.put("retention-s", 60);
		}
		else if (type.equals("streaming")) {
			route.put("resumable", true);
			route.put("session-affinity", true);
			route.put("gap-target-ms", 300);
		}
		return route;
	}

	void await(String what, long millis, Callable<Boolean> condition) throws Exception {
		long deadline = System.currentTimeMillis() + millis;
		while (!condition.call()) {
			if (System.currentTimeMillis() > deadline) {
				throw new IllegalStateException("waited in vain for " + what);
			}
			Thread.sleep(20);
		}
	}

	static String newId() {
		return String.format("%016x", ThreadLocalRandom.current().nextLong());
	}

	/** A batch job of a client. */
	static final class Job {

		final String route;

		final String id = newId();

		final List<String> items = new ArrayList<>();

		final byte[] body;

		volatile long acceptedMillis;

		Job(String route, int count, int bodyBytes) {
			this.route = route;
			List<Object> list = new ArrayList<>();
			byte[] bytes = new byte[bodyBytes];
			for (int i = 0; i < count; i++) {
				String item = newId();
				this.items.add(item);
				ThreadLocalRandom.current().nextBytes(bytes);
				Map<String, Object> entry = new LinkedHashMap<>();
				entry.put("id", item);
				entry.put("path", "/" + route + "/3/" + item.substring(0, 4));
				entry.put("headers", Map.of("Model", "m", "Token-Usage", "540,400", "Prefix-Hash", "9c2e41:300,5d07b8:240"));
				entry.put("body", Base64.getEncoder().encodeToString(bytes));
				entry.put("token-count", 940);
				list.add(entry);
			}
			this.body = Json.write(Map.of("items", list)).getBytes(StandardCharsets.UTF_8);
		}

	}

	/** Submits a job; null without an answer. */
	Http.Message send(Job job, Machine machine) {
		return Http.call(machine.frontend, "POST", "/" + job.route + "/" + job.id.substring(0, 6),
				Map.of("Host", HOST, "Request-Id", job.id, "Content-Type", "application/json"), job.body, 5_000);
	}

	/** Submits a job; returns the status, 0 without an answer. */
	int submit(Job job, Machine machine) {
		Http.Message answer = send(job, machine);
		int status = (answer != null) ? answer.status() : 0;
		if (status == 202) {
			job.acceptedMillis = System.currentTimeMillis();
		}
		return status;
	}

	/**
	 * Submits jobs at the rate of the sheet, 4.15 a second for a minute, with bursts of six
	 * times as many for 3 s.
	 */
	List<Job> submitTraffic(String route, List<Integer> burstsMillis) {
		long interval = 241;
		List<Job> jobs = new ArrayList<>();
		long start = System.currentTimeMillis();
		for (long next = 0; next < 60_000;) {
			sleepQuietly(start + next - System.currentTimeMillis());
			Job job = new Job(route, ITEMS, BODY_BYTES);
			int status = submit(job, this.machines.get(jobs.size() % this.machines.size()));
			if (status != 202) {
				throw new IllegalStateException("a job was answered " + status);
			}
			jobs.add(job);
			long now = next;
			boolean burst = burstsMillis.stream().anyMatch((from) -> now >= from && now < from + 3_000);
			next += burst ? interval / 6 : interval;
		}
		return jobs;
	}

	/** Reads the results of a job from a position; null unless the status is 200. */
	Results read(Job job, Machine machine, int after) {
		Http.Message answer = Http.call(machine.frontend, "GET", "/api/lots/" + job.id + "?after=" + after,
				Map.of("Host", HOST), new byte[0], 4_000);
		return new Results((answer != null) ? answer.status() : 0, (answer != null) ? answer.text() : "");
	}

	/** The answer to a read. */
	static final class Results {

		final int status;

		long total = -1;

		final List<Map<String, Object>> rows = new ArrayList<>();

		@SuppressWarnings("unchecked")
		Results(int status, String text) {
			this.status = status;
			if (status == 200) {
				Map<String, Object> root = Json.parseObject(text);
				this.total = (Long) root.get("total");
				((List<Object>) root.get("results")).forEach((row) -> this.rows.add((Map<String, Object>) row));
			}
		}

		List<String> ids() {
			return this.rows.stream().map((row) -> (String) row.get("id")).toList();
		}

	}

	/** Reads all results of a job from the start until it has them all or the time is up. */
	List<Map<String, Object>> collect(Job job, Machine machine, long millis) throws Exception {
		long deadline = System.currentTimeMillis() + millis;
		List<Map<String, Object>> rows = new ArrayList<>();
		while (rows.size() < job.items.size() && System.currentTimeMillis() < deadline) {
			Results results = read(job, machine, rows.size());
			rows.addAll(results.rows);
			if (rows.size() < job.items.size()) {
				Thread.sleep(300);
			}
		}
		return rows;
	}

	long runsOf(String requestId) {
		return this.runners.stream().flatMap((r) -> r.runs.stream()).filter((run) -> run.requestId.equals(requestId)).count();
	}

}
