package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of the three machines of a zone are stopped while clients open streams. */
final class StopCase {

	private static final int EVENTS = 32;

	private static final long EVENT_MILLIS = 110;

	/** Pause between two machines that are stopped in turn. */
	private static final long GAP_MILLIS = 1_000;

	public static void main(String[] args) throws Exception {
		Fixture.main(args, StopCase::run);
	}

	private static boolean run(Fixture fixture) throws Exception {
		fixture.start(3, 6, 8, List.of(Fixture.route("draft", "streaming", 2)));
		fixture.runners.forEach((runner) -> {
			runner.events = EVENTS;
			runner.eventMillis = EVENT_MILLIS;
		});
		Map<Machine, Integer> failedProbes = new HashMap<>();
		long start = System.currentTimeMillis();
		boolean stopped = false;
		boolean second = false;
		AtomicInteger cut = new AtomicInteger();
		AtomicInteger served = new AtomicInteger();
		ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
		long stopMillis = start + 3_000;
		long nextProbe = 0;
		while (System.currentTimeMillis() < start + 12_000) {
			long now = System.currentTimeMillis();
			if (!stopped && now >= stopMillis) {
				stopped = true;
				stop(fixture, 0);
			}
			if (!second && now >= stopMillis + GAP_MILLIS) {
				second = true;
				stop(fixture, 1);
			}
			if (now >= nextProbe) {
				nextProbe = now + 1_000;
				for (Machine machine : fixture.machines) {
					failedProbes.merge(machine, 1, (failed, one) -> machine.isReady() ? 0 : failed + 1);
				}
			}
			List<Machine> rotation = new ArrayList<>(fixture.machines);
			rotation.removeIf((machine) -> failedProbes.getOrDefault(machine, 0) >= 2);
			if (2 * rotation.size() < fixture.machines.size()) {
				rotation = fixture.machines;
			}
			Machine machine = rotation.get(ThreadLocalRandom.current().nextInt(rotation.size()));
			clients.submit(() -> request(fixture, machine, stopMillis, cut, served));
			Thread.sleep(150);
		}
		clients.shutdown();
		clients.awaitTermination(12, TimeUnit.SECONDS);
		fixture.log("clients: " + served + " streams are complete, " + cut + " are cut by a machine that was stopped");
		return cut.get() == 0;
	}

	private static void stop(Fixture fixture, int number) {
		if (Fixture.TROUBLE) {
			fixture.machines.get(number).terminate();
			fixture.log("platform: SIGTERM to " + fixture.machines.get(number).name);
		}
	}

	private static void request(Fixture fixture, Machine machine, long firstStopMillis, AtomicInteger cut,
			AtomicInteger served) {
		String id = Fixture.newId();
		long stopMillis = firstStopMillis + (machine.name.equals("edge-2") ? GAP_MILLIS : 0);
		long sent = System.currentTimeMillis();
		Http.Message answer = Http.call(machine.frontend, "POST", "/draft/2f", Map.of("Host", Fixture.HOST, "Request-Id", id,
				"Model", "m", "Token-Usage", "450,32", "Prefix-Hash", "5c1e07a2:100," + id.substring(0, 8) + ":250",
				"Deadline-Ms", "5000"), new byte[100], 5_500);
		long ended = System.currentTimeMillis();
		long runs = fixture.runsOf(id);
		if (answer != null && answer.complete && answer.status() == 200) {
			served.incrementAndGet();
		}
		else if (runs > 0 && ended - sent < 5_000) {
			cut.incrementAndGet();
			fixture.log("client: stream " + id + " at " + machine.name + ", sent " + (sent - stopMillis)
					+ " ms after the SIGTERM, ended after " + (ended - sent) + " ms with "
					+ ((answer != null) ? "status " + answer.status() + " and an incomplete body" : "no answer") + "; "
					+ runs + " runs");
		}
	}

}
