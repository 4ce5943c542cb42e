import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * BUDGET: a request that comes again and again crashes each runner within a few
 * milliseconds of its arrival.
 */
final class CrashSoonCase {

	private static final int MACHINES = 2;

	private static final int RUNNERS = 6;

	private static final int REQUEST_MILLIS = 15;

	private static final int EVENTS = 20;

	private static final int EVENT_MILLIS = 20;

	private static final long DEADLY_MILLIS = 2_000;

	/** The id of the first attempt, which names the last part of the prompt. */
	private static final String DEADLY_ID = "9c41d07be2a35f68";

	private static final String DEADLY_BODY = "prompt of the request that crashes runners";

	private static final long CRASH_DELAY_MILLIS = 8;

	private static final long DOWN_MILLIS = 3_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final long JUDGED_MILLIS = 50_000;

	private CrashSoonCase() {
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
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-short\",\"hostname\":\"" + Fixture.HOST
				+ "\",\"path-prefix\":\"/pufi791/\",\"route-type\":\"streaming\",\"timeout-ms\":5000,"
				+ "\"target-latency-ms\":300,\"priority\":0,\"backend\":\"huvo11a\",\"max-attempts\":1,"
				+ "\"session-affinity\":true,\"resumable\":false,\"gap-target-ms\":300}],\"backends\":[{\"name\":"
				+ "\"huvo11a\",\"health-path\":\"/healthz\",\"max-connections\":310,\"protocol\":\"h1\"}],"
				+ Fixture.limits() + "}";
	}

	private static int run(Fixture fixture) throws Exception {
		ConcurrentLinkedQueue<Long> deadlyRuns = new ConcurrentLinkedQueue<>();
		Map<String, Runner> runners = new ConcurrentHashMap<>();
		fixture.publish(configuration(7));
		for (int i = 0; i < RUNNERS; i++) {
			Runner runner = new Runner("i-7f3a91c" + i, "huvo11a", 8, fixture.store, (run) -> {
				if (run.request().text().equals(DEADLY_BODY)) {
					deadlyRuns.add(run.atMillis());
					fixture.write(run.runner() + " begins to run " + run.request().header("Request-Id") + " and crashes, "
							+ runners.get(run.runner()).getRunning() + " requests are running");
					Thread.ofVirtual().start(() -> crashAndRestart(runners.get(run.runner()), run.born()));
				}
			});
			runner.setEvents(EVENTS, EVENT_MILLIS);
			runners.put(runner.getId(), runner);
			runner.start("v1", 0);
		}
		fixture.startMachines(MACHINES);
		Thread.sleep(1_000);
		ConcurrentLinkedQueue<String> results = new ConcurrentLinkedQueue<>();
		Thread traffic = Thread.ofVirtual().start(() -> sendAll(fixture, results));
		Thread.sleep(8_000);
		fixture.write("requests of clients in the first 8 s: " + count(results));
		results.clear();
		ConcurrentLinkedQueue<String> deadlyResults = new ConcurrentLinkedQueue<>();
		long end = System.currentTimeMillis() + JUDGED_MILLIS;
		while (System.currentTimeMillis() < end) {
			if (Fixture.TROUBLE) {
				String id = fixture.newId();
				Machine machine = fixture.anyMachine();
				Thread.ofVirtual().start(() -> deadlyResults.add(send(machine, id, DEADLY_BODY, "91bd3f06", DEADLY_ID)));
			}
			Thread.sleep(DEADLY_MILLIS);
		}
		traffic.interrupt();
		Thread.sleep(3_000);
		List<Long> runs = List.copyOf(deadlyRuns);
		long late = (runs.size() < 3) ? 0
				: runs.stream().filter((at) -> at > runs.get(2) + CRASH_DELAY_MILLIS + CONTACT_MILLIS).count();
		fixture.write("the request has crashed " + runs.size() + " runners; it reached a runner " + late
				+ " times later than " + CONTACT_MILLIS + " ms after the third crash");
		fixture.write("its answers: " + count(deadlyResults));
		fixture.write("sound requests of clients meanwhile: " + count(results));
		fixture.recordLog(4, "quarantine began");
		boolean broken = late > 3;
		fixture.write(broken ? "BUDGET is broken" : "BUDGET holds");
		System.out.println(runs.size() + " crashes, " + late + " late: " + (broken ? "broken" : "held"));
		return broken ? 1 : 0;
	}

	private static Map<String, Long> count(ConcurrentLinkedQueue<String> results) {
		return results.stream().collect(Collectors.groupingBy((r) -> r, TreeMap::new, Collectors.counting()));
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

	private static void sendAll(Fixture fixture, ConcurrentLinkedQueue<String> results) {
		try {
			while (true) {
				Thread.sleep(REQUEST_MILLIS);
				String id = fixture.newId();
				Machine machine = fixture.anyMachine();
				Thread.ofVirtual().start(() -> results.add(send(machine, id, "prompt " + id, id.substring(0, 2), id)));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String send(Machine machine, String id, String body, String part, String own) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", Fixture.HOST);
		headers.put("Request-Id", id);
		headers.put("Model", "m");
		headers.put("Token-Usage", "350,140");
		headers.put("Prefix-Hash", part + ":100," + own.substring(8) + ":250");
		headers.put("Deadline-Ms", "5000");
		Wire.Message answer = Wire.call(machine.getFrontend(), "POST", "/pufi791/" + part.substring(0, 2), headers,
				body.getBytes(), 6_000);
		boolean whole = answer != null && answer.status() == 200 && answer.complete()
				&& answer.text().contains("id: " + EVENTS + "\n");
		return (answer == null) ? "closed" : whole ? "served"
				: (answer.status() == 200) ? "broken off" : Integer.toString(answer.status());
	}

}
