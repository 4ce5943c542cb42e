import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * BUDGET: an item of a batch job crashes each runner that begins to run it.
 */
final class CrashItemCase {

	private static final int MACHINES = 2;

	private static final int RUNNERS = 6;

	private static final int REQUEST_MILLIS = 100;

	private static final int EVENTS = 20;

	private static final int EVENT_MILLIS = 20;

	private static final int ITEMS = 5;

	private static final String DEADLY_PART = "91bd3f06";

	private static final long CRASH_DELAY_MILLIS = 10;

	private static final long DOWN_MILLIS = 3_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final long JUDGED_MILLIS = 40_000;

	private CrashItemCase() {
	}

	public static void main(String[] args) {
		int code = 2;
		try (Fixture fixture = new Fixture(Path.of(args[0]))) {
			code = run(fixture);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(code);
	}

	private static String configuration(int version) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-text\",\"hostname\":\"" + Fixture.HOST
				+ "\",\"path-prefix\":\"/lohu930/\",\"route-type\":\"streaming\",\"timeout-ms\":5000,"
				+ "\"target-latency-ms\":300,\"priority\":0,\"backend\":\"huvo11a\",\"max-attempts\":2,"
				+ "\"session-affinity\":true,\"resumable\":true,\"gap-target-ms\":300},{\"name\":\"r-rows\","
				+ "\"hostname\":\"" + Fixture.HOST + "\",\"path-prefix\":\"/pule252/\",\"route-type\":\"batch\","
				+ "\"timeout-ms\":15000,\"target-latency-ms\":500,\"completion-target-ms\":18000,\"retention-s\":60,"
				+ "\"priority\":2,\"backend\":\"huvo11a\",\"max-attempts\":3}],\"backends\":[{\"name\":\"huvo11a\","
				+ "\"health-path\":\"/healthz\",\"max-connections\":310,\"protocol\":\"h1\"}]," + Fixture.limits() + "}";
	}

	private static int run(Fixture fixture) throws Exception {
		Map<String, List<Long>> runsOfItems = new ConcurrentHashMap<>();
		ConcurrentLinkedQueue<String> crashes = new ConcurrentLinkedQueue<>();
		Map<String, Runner> runners = new ConcurrentHashMap<>();
		fixture.publish(configuration(7));
		for (int i = 0; i < RUNNERS; i++) {
			Runner runner = new Runner("i-7f3a91c" + i, "huvo11a", 8, fixture.store, (run) -> {
				if (run.request().header("Prefix-Hash").contains(DEADLY_PART + ":")) {
					String id = run.request().header("Request-Id");
					runsOfItems.computeIfAbsent(id, (k) -> java.util.Collections.synchronizedList(new ArrayList<>()))
						.add(run.atMillis());
					crashes.add(run.runner());
					fixture.write(run.runner() + " begins to run item " + id + " and crashes");
					Thread.ofVirtual().start(() -> crashAndRestart(runners.get(run.runner()), run.born()));
				}
			});
			runner.setEvents(EVENTS, EVENT_MILLIS);
			runners.put(runner.getId(), runner);
			runner.start("v1", 0);
		}
		fixture.startMachines(MACHINES);
		Thread.sleep(2_000);
		ConcurrentLinkedQueue<String> results = new ConcurrentLinkedQueue<>();
		Thread traffic = Thread.ofVirtual().start(() -> sendAll(fixture, results));
		Thread.sleep(3_000);
		submit(fixture);
		Thread.sleep(JUDGED_MILLIS);
		traffic.interrupt();
		Wire.Message lot = Wire.call(fixture.anyMachine().getFrontend(), "GET", "/api/lots/7c41e09b52d6a3f8?after=0",
				Map.of("Host", Fixture.HOST, "Request-Id", fixture.newId()), new byte[0], 3_000);
		fixture.write("the batch job: " + ((lot == null) ? "no answer"
				: lot.text().substring(0, Math.min(lot.text().length(), 200))));
		boolean broken = false;
		int most = 0;
		for (Map.Entry<String, List<Long>> item : runsOfItems.entrySet()) {
			List<Long> runs = item.getValue();
			long late = (runs.size() < 3) ? 0
					: runs.stream().filter((at) -> at > runs.get(2) + CRASH_DELAY_MILLIS + CONTACT_MILLIS).count();
			fixture.write("item " + item.getKey() + " has crashed " + runs.size() + " runners; it reached a runner "
					+ late + " times later than " + CONTACT_MILLIS + " ms after the third crash");
			broken |= late > 3;
			most = Math.max(most, runs.size());
		}
		List<Long> allRuns = runsOfItems.values().stream().flatMap(List::stream).sorted().toList();
		long lateOfPart = (allRuns.size() < 5) ? 0
				: allRuns.stream().filter((at) -> at > allRuns.get(4) + CRASH_DELAY_MILLIS + CONTACT_MILLIS).count();
		fixture.write("requests with the part " + DEADLY_PART + " reached runners " + lateOfPart + " times later than "
				+ CONTACT_MILLIS + " ms after the fifth crash");
		broken |= lateOfPart > 3;
		fixture.write(crashes.size() + " crashes of " + RUNNERS + " runners; requests of clients: " + results.stream()
			.collect(Collectors.groupingBy((r) -> r, TreeMap::new, Collectors.counting())));
		fixture.write(broken ? "BUDGET is broken" : "BUDGET holds");
		System.out.println(crashes.size() + " crashes, at most " + most + " by one item: " + (broken ? "broken" : "held"));
		return broken ? 1 : 0;
	}

	private static void crashAndRestart(Runner runner, long born) {
		try {
			Thread.sleep(CRASH_DELAY_MILLIS);
			if (runner.crash(born)) {
				Thread.sleep(DOWN_MILLIS);
				runner.start("v1", 0);
			}
		}
		catch (java.io.IOException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void submit(Fixture fixture) {
		StringBuilder items = new StringBuilder();
		for (int i = 0; i < ITEMS; i++) {
			boolean deadly = Fixture.TROUBLE && i == 0;
			items.append((i > 0) ? "," : "")
				.append("{\"id\":\"e5b2907c14da6f3" + i + "\",\"path\":\"/pule252/3/91c" + i + "\",\"headers\":{"
						+ "\"Model\":\"m\",\"Token-Usage\":\"350,140\",\"Prefix-Hash\":\""
						+ (deadly ? DEADLY_PART : "9c2e4100") + ":100,5d07b8" + i + ":250\"},\"body\":\"q83vEjRWeJA=\","
						+ "\"token-count\":490}");
		}
		Wire.Message answer = Wire.call(fixture.anyMachine().getFrontend(), "POST", "/pule252/7c41e0",
				Map.of("Host", Fixture.HOST, "Request-Id", "7c41e09b52d6a3f8", "Content-Type", "application/json",
						"Deadline-Ms", "4000"),
				("{\"items\":[" + items + "]}").getBytes(), 5_000);
		fixture.write("a batch job of " + ITEMS + " items: " + ((answer == null) ? "no answer" : answer.line()));
		if (answer == null || answer.status() != 202) {
			throw new IllegalStateException("the batch job was not accepted");
		}
	}

	private static void sendAll(Fixture fixture, ConcurrentLinkedQueue<String> results) {
		try {
			while (true) {
				Thread.sleep(REQUEST_MILLIS);
				String id = fixture.newId();
				Machine machine = fixture.anyMachine();
				Thread.ofVirtual().start(() -> results.add(send(machine, id)));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String send(Machine machine, String id) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", Fixture.HOST);
		headers.put("Request-Id", id);
		headers.put("Model", "m");
		headers.put("Token-Usage", "350,140");
		headers.put("Prefix-Hash", id.substring(0, 2) + ":100," + id.substring(8) + ":250");
		headers.put("Deadline-Ms", "5000");
		Wire.Message answer = Wire.call(machine.getFrontend(), "POST", "/lohu930/" + id.substring(0, 2), headers,
				("prompt " + id).getBytes(), 6_000);
		boolean whole = answer != null && answer.status() == 200 && answer.complete()
				&& answer.text().contains("id: " + EVENTS + "\n");
		return (answer == null) ? "closed" : whole ? "served"
				: (answer.status() == 200) ? "broken off" : Integer.toString(answer.status());
	}

}
