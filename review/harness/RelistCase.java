package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients resend jobs to a machine that has just been killed and started again. */
final class RelistCase {

	private static final int RECENT = 40;

	/** Time after the restart in which the jobs are sent again, each at a random moment. */
	private static final long RESEND_MILLIS = 1_000;

	private static final List<Integer> BURSTS = List.of(8_000, 22_000, 36_000, 50_000);

	public static void main(String[] args) throws Exception {
		Fixture.main(args, RelistCase::run);
	}

	// After a refusal the client comes back once, when it was told to; without an answer it
	// goes to another machine.
	private static boolean sendAgain(Fixture fixture, Fixture.Job job, Machine machine, Machine other) {
		Http.Message answer = fixture.send(job, machine);
		if (answer != null && answer.status() == 503) {
			String retryAfter = answer.header("Retry-After");
			Fixture.sleepQuietly(retryAfter.isEmpty() ? 500 : Math.round(1_000 * Double.parseDouble(retryAfter)));
			answer = fixture.send(job, machine);
		}
		if (answer == null) {
			fixture.send(job, other);
		}
		return answer != null && answer.status() == 202;
	}

	private static boolean run(Fixture fixture) throws Exception {
		fixture.start(3, 6, 8, List.of(Fixture.route("fill", "batch", 3)));
		fixture.runners.forEach((runner) -> {
			runner.events = 30;
			runner.eventBytes = 79;
		});
		List<Fixture.Job> jobs = fixture.submitTraffic("fill", BURSTS);
		Thread.sleep(1_000);
		List<Fixture.Job> recent = jobs.subList(jobs.size() - RECENT, jobs.size());
		Machine reader = fixture.machines.get(0);
		Machine killed = fixture.machines.get(1);
		Map<Fixture.Job, List<String>> read = new LinkedHashMap<>();
		for (Fixture.Job job : recent) {
			List<String> ids = fixture.read(job, reader, 0).ids();
			read.put(job, ids);
		}
		fixture.log("clients: " + jobs.size() + " jobs accepted, " + fixture.store.bytes("keyed.wigeonglade") / 1_000
				+ " kB in the store; " + read.values().stream().mapToInt(List::size).sum() + " results of " + RECENT
				+ " recent jobs read at " + reader.name);
		if (Fixture.TROUBLE) {
			killed.kill();
			fixture.log(killed.name + " is killed and starts again");
			killed.start();
		}
		AtomicInteger accepted = new AtomicInteger();
		ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
		for (int i = 0; i < RECENT; i++) {
			Fixture.Job job = recent.get(i);
			long delayMillis = ThreadLocalRandom.current().nextLong(RESEND_MILLIS);
			clients.submit(() -> {
				Fixture.sleepQuietly(delayMillis);
				if (sendAgain(fixture, job, killed, reader)) {
					accepted.incrementAndGet();
				}
			});
		}
		clients.shutdown();
		clients.awaitTermination(15, TimeUnit.SECONDS);
		fixture.log("clients: " + accepted + " of " + RECENT + " jobs sent again to " + killed.name + " are accepted");
		fixture.await("the machine to be ready", 20_000, killed::isReady);
		Thread.sleep(10_000);
		int missing = 0;
		int moved = 0;
		for (Map.Entry<Fixture.Job, List<String>> entry : read.entrySet()) {
			List<String> before = entry.getValue();
			Fixture.Results now = fixture.read(entry.getKey(), killed, 0);
			List<String> ids = now.ids();
			if (now.status != 200 || ids.size() < before.size()) {
				missing++;
				fixture.log("client: job " + entry.getKey().id + " at " + killed.name + ": status " + now.status + ", "
						+ ids.size() + " results, " + before.size() + " had been read");
			}
			else if (!ids.subList(0, before.size()).equals(before)) {
				moved++;
				fixture.log("client: job " + entry.getKey().id + " at " + killed.name
						+ ": other results at positions that had been read");
			}
		}
		fixture.log("clients: results are missing in " + missing + " jobs and at other positions in " + moved);
		return missing + moved == 0;
	}

}
