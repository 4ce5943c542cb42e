import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * RECOVER: all runners of the service crash, and all machines are killed while the
 * runners are down. Both are back soon.
 */
final class QuarantineCase {

	private static final int RUNNERS = 6;

	private static final int MACHINES = 3;

	private static final int REQUEST_MILLIS = 20;

	private static final int EVENTS = 10;

	private static final int EVENT_MILLIS = 25;

	private static final long CALM_MILLIS = 8_000;

	private static final long RUNNERS_DOWN_MILLIS = 4_500;

	private static final long FAULT_AFTER_CRASH_MILLIS = 1_500;

	private static final long RECOVERY_MILLIS = 12_000;

	private static final long JUDGED_MILLIS = 20_000;

	private static final String SYSTEM_PROMPT = "5c1e07a2";

	private QuarantineCase() {
	}

	private record Sent(long atMillis, String result) {

		boolean isServed() {
			return this.result.equals("served");
		}

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
				+ "\",\"path-prefix\":\"/lohu930/\",\"route-type\":\"streaming\",\"timeout-ms\":" + (5_000 + version)
				+ ",\"target-latency-ms\":300,\"priority\":0,\"backend\":\"huvo11a\",\"max-attempts\":2,"
				+ "\"session-affinity\":true,\"resumable\":true,\"gap-target-ms\":300}],\"backends\":[{\"name\":"
				+ "\"huvo11a\",\"health-path\":\"/healthz\",\"max-connections\":310,\"protocol\":\"h1\"}],"
				+ Fixture.limits() + "}";
	}

	private static int run(Fixture fixture) throws Exception {
		ConcurrentLinkedQueue<Long> runs = new ConcurrentLinkedQueue<>();
		List<Runner> runners = new ArrayList<>();
		fixture.publish(configuration(7));
		for (int i = 0; i < RUNNERS; i++) {
			Runner runner = new Runner("i-7f3a91c" + i, "huvo11a", 8, fixture.store, (run) -> runs.add(run.atMillis()));
			runner.setEvents(EVENTS, EVENT_MILLIS);
			runner.start("v1", 0);
			runners.add(runner);
		}
		fixture.startMachines(MACHINES);
		ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
		long start = System.currentTimeMillis();
		Thread traffic = Thread.ofVirtual().start(() -> sendAll(fixture, sent));
		Thread.sleep(CALM_MILLIS);
		long crashed = System.currentTimeMillis();
		if (Fixture.TROUBLE) {
			fixture.write("all runners crash, " + runners.stream().map(Runner::getRunning).toList()
					+ " requests are running");
			runners.forEach(Runner::crash);
		}
		Thread.sleep(FAULT_AFTER_CRASH_MILLIS);
		fixture.publish(configuration(9));
		long fault = System.currentTimeMillis();
		fixture.write("a configuration is acknowledged; all processes of the system are killed");
		fixture.machines.forEach(Machine::kill);
		for (Machine machine : fixture.machines) {
			machine.killAndRestart();
		}
		if (Fixture.TROUBLE) {
			Thread.sleep(Math.max(0, crashed + RUNNERS_DOWN_MILLIS - System.currentTimeMillis()));
			for (Runner runner : runners) {
				runner.start("v1", 0);
			}
			fixture.write("all runners have started again");
		}
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		for (Machine machine : fixture.machines) {
			machine.awaitReady(end);
		}
		long back = System.currentTimeMillis();
		fixture.write("all machines are back and ready");
		Thread.sleep(RECOVERY_MILLIS + JUDGED_MILLIS);
		traffic.interrupt();
		traffic.join();
		Thread.sleep(500);
		Map<Long, List<Sent>> bySecond = sent.stream()
			.collect(Collectors.groupingBy((s) -> (s.atMillis - start) / 1_000, TreeMap::new, Collectors.toList()));
		Map<Long, Long> runsBySecond = runs.stream()
			.collect(Collectors.groupingBy((at) -> (at - start) / 1_000, Collectors.counting()));
		bySecond.forEach((second, list) -> fixture.write("second " + second + " of the traffic: sent " + list.size()
				+ ", answered "
				+ list.stream().collect(Collectors.groupingBy(Sent::result, TreeMap::new, Collectors.counting()))
				+ ", run " + runsBySecond.getOrDefault(second, 0L)));
		double before = share(sent.stream().filter((s) -> s.atMillis < crashed - 1_000).toList());
		double after = share(sent.stream().filter((s) -> s.atMillis > back + RECOVERY_MILLIS).toList());
		fixture.write("served before the fault: %.3f; served of what was sent later than %d ms after the machines were back: %.3f"
			.formatted(before, RECOVERY_MILLIS, after));
		fixture.write("requests begun at runners since the machines are back: "
				+ runs.stream().filter((at) -> at > back).count());
		fixture.recordLog(4, "quarantine", "QUARANTINE");
		boolean broken = before >= 0.25 && after < 0.25;
		fixture.write(broken ? "RECOVER is broken" : "RECOVER holds");
		System.out.printf("before %.3f, after %.3f: %s%n", before, after, broken ? "broken" : "held");
		return broken ? 1 : 0;
	}

	private static double share(List<Sent> list) {
		return list.isEmpty() ? 0 : list.stream().filter(Sent::isServed).count() / (double) list.size();
	}

	private static void sendAll(Fixture fixture, ConcurrentLinkedQueue<Sent> sent) {
		try {
			while (true) {
				Thread.sleep(REQUEST_MILLIS);
				Machine first = fixture.anyMachine();
				String id = fixture.newId();
				String retryId = fixture.newId();
				String part = fixture.newId();
				Machine second = fixture.anyMachine();
				Thread.ofVirtual().start(() -> sendWithRetry(first, second, id, retryId, part, sent));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The client asks once more after a promise, as the pages say.
	private static void sendWithRetry(Machine first, Machine second, String id, String retryId, String part,
			ConcurrentLinkedQueue<Sent> sent) {
		Wire.Message answer = send(first, id, part, sent);
		if (answer == null || answer.status() == 503 || answer.status() == 429) {
			String after = (answer != null) ? answer.header("Retry-After") : "";
			try {
				Thread.sleep(after.isEmpty() ? 200 : Math.min(1_600, Math.round(Double.parseDouble(after) * 1_000)));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			send(second, retryId, part, sent);
		}
	}

	private static Wire.Message send(Machine machine, String id, String part, ConcurrentLinkedQueue<Sent> sent) {
		long at = System.currentTimeMillis();
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", Fixture.HOST);
		headers.put("Request-Id", id);
		headers.put("Model", "m");
		headers.put("Token-Usage", "350,70");
		headers.put("Prefix-Hash", SYSTEM_PROMPT + ":100," + part.substring(0, 8) + ":250");
		headers.put("Deadline-Ms", "5000");
		Wire.Message answer = Wire.call(machine.getFrontend(), "POST", "/lohu930/" + id.substring(0, 2), headers,
				("prompt " + part).getBytes(), 6_000);
		String result = "closed";
		if (answer != null) {
			boolean whole = answer.status() == 200 && answer.complete() && !answer.header("Response-Signature").isEmpty()
					&& answer.text().contains("id: " + EVENTS + "\n");
			result = whole ? "served" : (answer.status() == 200) ? "broken off" : Integer.toString(answer.status());
		}
		sent.add(new Sent(at, result));
		return answer;
	}

}
