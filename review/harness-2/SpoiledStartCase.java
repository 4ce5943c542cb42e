import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * LOST: the only runner of a service spoils one digit of one of its answers.
 */
final class SpoiledStartCase {

	private static final int ANSWERS = 34;

	private static final int REQUEST_MILLIS = 50;

	private static final int EVENTS = 20;

	private static final int EVENT_MILLIS = 20;

	private static final int JOBS = 3;

	private static final int ITEMS = 10;

	private static final long FINISH_MILLIS = 18_000;

	private static final long CALM_MILLIS = 5_000;

	private SpoiledStartCase() {
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
		ConcurrentLinkedQueue<Runner.Run> runs = new ConcurrentLinkedQueue<>();
		fixture.publish(configuration(7));
		Runner runner = new Runner("i-7f3a91c2", "huvo11a", "zone-a", 8, fixture.store, runs::add);
		runner.setEvents(EVENTS, EVENT_MILLIS);
		runner.start("v1", 0);
		fixture.startMachines(List.of("zone-a", "zone-a"));
		ConcurrentLinkedQueue<String> results = new ConcurrentLinkedQueue<>();
		List<Machine> remaining = fixture.machines;
		if (Fixture.TROUBLE) {
			runner.spoilReports(1);
		}
		int before = runs.size();
		Thread traffic = Thread.ofVirtual().start(() -> sendAll(fixture, remaining, results));
		Thread.sleep(6_000);
		fixture.write("answers of the runner in the last 6 s: more than " + (runs.size() - before) + ", of which spoiled: "
				+ ((Fixture.TROUBLE ? 1 : 0) - runner.getReportsLeftToSpoil()));
		runner.spoilReports(0);
		if (Fixture.TROUBLE && runs.size() - before < ANSWERS) {
			throw new IllegalStateException("the runner gave too few answers");
		}
		fixture.write("requests of clients so far: " + count(results));
		results.clear();
		Thread.sleep(3_000);
		for (int i = 0; i < JOBS; i++) {
			submit(fixture, remaining.get(i % 2), i);
			Thread.sleep(1_000);
		}
		Thread.sleep(5_000);
		traffic.interrupt();
		fixture.write("the traffic has ended; requests of clients since the batch jobs: " + count(results));
		Thread.sleep(FINISH_MILLIS);
		long finished = System.currentTimeMillis();
		int unlisted = 0;
		for (int i = 0; i < JOBS; i++) {
			unlisted += ITEMS - readListed(fixture, remaining.get((i + 1) % 2), i);
		}
		long itemRuns = runs.stream().filter((run) -> run.request().target().startsWith("/pule252/")).count();
		long lateRuns = runs.stream().filter((run) -> run.atMillis() > finished - CALM_MILLIS).count();
		fixture.write("items have begun to run at runners " + itemRuns + " times; requests begun at runners in the last "
				+ CALM_MILLIS + " ms: " + lateRuns);
		boolean broken = unlisted > 0 && lateRuns == 0;
		fixture.write(unlisted + " of " + JOBS * ITEMS + " items are not listed " + FINISH_MILLIS
				+ " ms after the end of the traffic: " + (broken ? "LOST is broken" : "LOST holds"));
		System.out.println(unlisted + " items not listed: " + (broken ? "broken" : "held"));
		return broken ? 1 : 0;
	}

	private static Map<String, Long> count(ConcurrentLinkedQueue<String> results) {
		return results.stream().collect(Collectors.groupingBy((r) -> r, TreeMap::new, Collectors.counting()));
	}

	private static String jobId(int job) {
		return "7c41e09b52d6a3f" + job;
	}

	private static void submit(Fixture fixture, Machine machine, int job) {
		StringBuilder items = new StringBuilder();
		for (int i = 0; i < ITEMS; i++) {
			items.append((i > 0) ? "," : "")
				.append("{\"id\":\"e5b2907c14da6f" + job + i + "\",\"path\":\"/pule252/3/91c" + i + "\",\"headers\":{"
						+ "\"Model\":\"m\",\"Token-Usage\":\"350,140\",\"Prefix-Hash\":\"9c2e41:100,5d07b8" + job + i
						+ ":250\"},\"body\":\"q83vEjRWeJA=\",\"token-count\":490}");
		}
		Wire.Message answer = Wire.call(machine.getFrontend(), "POST", "/pule252/" + jobId(job).substring(0, 6),
				Map.of("Host", Fixture.HOST, "Request-Id", jobId(job), "Content-Type", "application/json", "Deadline-Ms",
						"4000"),
				("{\"items\":[" + items + "]}").getBytes(), 5_000);
		fixture.write("batch job " + jobId(job) + " of " + ITEMS + " items: "
				+ ((answer == null) ? "no answer" : answer.line()));
		if (answer == null || answer.status() != 202) {
			throw new IllegalStateException("the batch job was not accepted");
		}
	}

	private static int readListed(Fixture fixture, Machine machine, int job) {
		Wire.Message answer = Wire.call(machine.getFrontend(), "GET", "/api/lots/" + jobId(job) + "?after=0",
				Map.of("Host", Fixture.HOST, "Request-Id", fixture.newId()), new byte[0], 3_000);
		if (answer == null || answer.status() != 200) {
			throw new IllegalStateException("the batch job cannot be read");
		}
		fixture.write("batch job " + jobId(job) + ": "
				+ answer.text().replaceAll("\"output\":\"[^\"]*\"", "\"output\":..."));
		Matcher next = Pattern.compile("\"next\":(\\d+)").matcher(answer.text());
		return next.find() ? Integer.parseInt(next.group(1)) : 0;
	}

	private static void sendAll(Fixture fixture, List<Machine> machines, ConcurrentLinkedQueue<String> results) {
		try {
			for (int i = 0;; i++) {
				Thread.sleep(REQUEST_MILLIS);
				String id = fixture.newId();
				Machine machine = machines.get(i % machines.size());
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
