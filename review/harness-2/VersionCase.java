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
 * ORDER: a runner that fails part of its requests for a while is started again later,
 * under its id and with another version of its software.
 */
final class VersionCase {

	private static final int MACHINES = 2;

	private static final int REQUEST_MILLIS = 50;

	private static final int RUNNERS = 7;

	private static final int EVENTS = 60;

	private static final int EVENT_MILLIS = 40;

	private static final double SHED_SHARE = 0.4;

	private static final long SHED_MILLIS = 5_000;

	private static final long DOWN_MILLIS = 300;

	private static final int FIRST_HEARTBEAT_MILLIS = 800;

	private static final int TRIES = 2;

	private static final long PAUSE_MILLIS = 500;

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d+) \\1\n\n");

	private VersionCase() {
	}

	// The events of one stream over the tries of its client.
	private record Stream(String first, List<String> versions, List<String> tries) {

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
				+ "\"session-affinity\":true,\"resumable\":true,\"gap-target-ms\":300}],\"backends\":[{\"name\":"
				+ "\"huvo11a\",\"health-path\":\"/healthz\",\"max-connections\":310,\"protocol\":\"h1\"}],"
				+ Fixture.limits() + "}";
	}

	private static int run(Fixture fixture) throws Exception {
		ConcurrentLinkedQueue<Runner.Run> runs = new ConcurrentLinkedQueue<>();
		List<Runner> runners = new ArrayList<>();
		fixture.publish(configuration(7));
		for (int i = 0; i < RUNNERS; i++) {
			Runner runner = new Runner("i-7f3a91c" + i, "huvo11a", 8, fixture.store, runs::add);
			runner.setEvents(EVENTS, EVENT_MILLIS);
			// The last runner has not been upgraded yet.
			runner.start((i < RUNNERS - 1) ? "v2" : "v1", 0);
			runners.add(runner);
		}
		Runner last = runners.get(RUNNERS - 1);
		fixture.startMachines(MACHINES);
		ConcurrentLinkedQueue<Stream> streams = new ConcurrentLinkedQueue<>();
		if (Fixture.TROUBLE) {
			fixture.write(last.getId() + " refuses " + SHED_SHARE + " of all requests");
			last.setShedShare(SHED_SHARE);
		}
		Thread traffic = Thread.ofVirtual().start(() -> sendAll(fixture, streams));
		Thread.sleep(SHED_MILLIS);
		last.setShedShare(0);
		fixture.write(last.getId() + " refuses none");
		Thread.sleep(8_000);
		fixture.write(last.getId() + " ends, " + last.getRunning() + " requests are running");
		long ended = System.currentTimeMillis();
		last.crash();
		Thread.sleep(DOWN_MILLIS);
		last.start("v2", FIRST_HEARTBEAT_MILLIS);
		fixture.write(last.getId() + " has started again with version v2; its first heartbeat follows after "
				+ FIRST_HEARTBEAT_MILLIS + " ms");
		Thread.sleep(6_000);
		traffic.interrupt();
		traffic.join();
		Thread.sleep(8_000);
		runs.stream()
			.filter((run) -> run.atMillis() > ended && !run.request().header("Last-Event-Id").isEmpty())
			.forEach((run) -> fixture.write("run at " + run.runner() + " " + run.version() + ", "
					+ (run.atMillis() - ended) + " ms after the end: Request-Id " + run.request().header("Request-Id")
					+ ", Resumes " + run.request().header("Resumes") + ", Last-Event-Id "
					+ run.request().header("Last-Event-Id")));
		List<Stream> mixed = streams.stream().filter((stream) -> stream.versions.size() > 1).toList();
		mixed.forEach((stream) -> fixture.write("stream " + stream.first + " holds events of " + stream.versions
				+ " over the tries " + stream.tries));
		fixture.write("tries of all streams: " + streams.stream()
			.map((stream) -> stream.tries.stream().map((t) -> t.split(" ")[1]).collect(Collectors.joining(",")))
			.collect(Collectors.groupingBy((t) -> t, TreeMap::new, Collectors.counting())));
		fixture.write(mixed.size() + " of " + streams.size() + " streams hold events of two versions");
		boolean broken = mixed.size() > 2;
		fixture.write(broken ? "ORDER is broken" : "ORDER holds");
		System.out.println(mixed.size() + " of " + streams.size() + " streams mixed: " + (broken ? "broken" : "held"));
		return broken ? 1 : 0;
	}

	private static void sendAll(Fixture fixture, ConcurrentLinkedQueue<Stream> streams) {
		try {
			while (true) {
				Thread.sleep(REQUEST_MILLIS);
				List<String> ids = new ArrayList<>();
				List<Machine> machines = new ArrayList<>();
				for (int i = 0; i < TRIES; i++) {
					ids.add(fixture.newId());
					machines.add(fixture.anyMachine());
				}
				Thread.ofVirtual().start(() -> streams.add(send(ids, machines)));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The client takes a stream up that has broken off, until it is whole or its time is
	// up.
	private static Stream send(List<String> ids, List<Machine> machines) {
		List<String> versions = new ArrayList<>();
		List<String> tries = new ArrayList<>();
		String resumes = null;
		int events = 0;
		long start = System.currentTimeMillis();
		for (int i = 0; i < TRIES && events < EVENTS; i++) {
			long left = 5_000 - (System.currentTimeMillis() - start);
			if (left < 200) {
				break;
			}
			Map<String, String> headers = new LinkedHashMap<>();
			headers.put("Host", Fixture.HOST);
			headers.put("Request-Id", ids.get(i));
			headers.put("Model", "m");
			headers.put("Token-Usage", "450,420");
			headers.put("Prefix-Hash", ids.get(0).substring(0, 6) + ":200," + ids.get(0).substring(8) + ":250");
			headers.put("Deadline-Ms", Long.toString(left));
			if (events > 0) {
				headers.put("Last-Event-Id", Integer.toString(events));
				headers.put("Resumes", resumes);
			}
			Wire.Message answer = Wire.call(machines.get(i).getFrontend(), "POST", "/lohu930/" + ids.get(0).substring(0, 2),
					headers, ("prompt " + ids.get(0)).getBytes(), (int) left);
			int before = events;
			if (answer != null && answer.status() == 200) {
				Matcher event = EVENT.matcher(answer.text());
				while (event.find()) {
					events = Integer.parseInt(event.group(1));
					if (!versions.contains(event.group(2))) {
						versions.add(event.group(2));
					}
				}
				resumes = (resumes == null && events > 0) ? ids.get(i) : resumes;
			}
			tries.add(ids.get(i) + " " + ((answer == null) ? "closed"
					: (answer.status() == 200) ? (before + 1) + "-" + events : Integer.toString(answer.status())));
			try {
				Thread.sleep((events < EVENTS) ? PAUSE_MILLIS : 0);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		return new Stream(ids.get(0), versions, tries);
	}

}
