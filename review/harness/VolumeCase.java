package review;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/** A machine is killed and starts again when many batch jobs are in the store. */
final class VolumeCase {

	private static final int ITEMS = 10;

	private static final int BODY_BYTES = 15_000;

	private static final int EVENTS = 128;

	private static final int EVENT_BYTES = 75;

	private static final int JOBS = Integer.getInteger("jobs", 220);

	/** Time between two jobs: 4.15 jobs a second. */
	private static final long INTERVAL_MILLIS = Integer.getInteger("interval", 241);

	private static final int PROBES = 5;

	private static final long OBSERVED_MILLIS = 30_000;

	public static void main(String[] args) throws Exception {
		Fixture.main(args, VolumeCase::run);
	}

	private static boolean run(Fixture fixture) throws Exception {
		fixture.start(2, 6, 8, List.of(Fixture.route("fill", "batch", 3)));
		fixture.runners.forEach((runner) -> {
			runner.events = EVENTS;
			runner.eventMillis = 1;
			runner.eventBytes = EVENT_BYTES;
		});
		Machine other = fixture.machines.get(0);
		Machine killed = fixture.machines.get(1);
		List<Fixture.Job> jobs = new ArrayList<>();
		long start = System.currentTimeMillis();
		for (int i = 0; i < JOBS; i++) {
			Fixture.sleepQuietly(start + i * INTERVAL_MILLIS - System.currentTimeMillis());
			Fixture.Job job = new Fixture.Job("fill", ITEMS, BODY_BYTES);
			int status = fixture.submit(job, fixture.machines.get(i % 2));
			if (status != 202) {
				throw new IllegalStateException("a job was answered " + status);
			}
			jobs.add(job);
		}
		Thread.sleep(2_000);
		List<Fixture.Job> probes = new ArrayList<>();
		for (int i = 0; i < PROBES; i++) {
			probes.add(jobs.get(i * (JOBS - 1) / (PROBES - 1)));
		}
		List<Integer> before = new ArrayList<>();
		for (Fixture.Job job : probes) {
			before.add(fixture.read(job, other, 0).rows.size());
		}
		fixture.log("clients: " + jobs.size() + " jobs accepted, " + fixture.store.bytes("keyed.wigeonglade") / 1_000
				+ " kB in the store; results read of " + PROBES + " jobs at " + other.name + ": " + before);
		if (Fixture.TROUBLE) {
			killed.kill();
			fixture.log(killed.name + " is killed and starts again");
			killed.start();
		}
		long restarted = System.currentTimeMillis();
		fixture.await("the machine to be ready", 25_000, killed::isReady);
		fixture.log(killed.name + " is ready");
		int missing = 0;
		while (System.currentTimeMillis() < restarted + OBSERVED_MILLIS) {
			Thread.sleep(2_000);
			missing = 0;
			List<String> answers = new ArrayList<>();
			for (int i = 0; i < PROBES; i++) {
				Fixture.Results results = fixture.read(probes.get(i), killed, 0);
				answers.add(results.status + "/" + results.rows.size());
				missing += (results.status != 200 || results.rows.size() < before.get(i)) ? 1 : 0;
			}
			fixture.log("client: status and results at " + killed.name + ", " + (System.currentTimeMillis() - restarted)
					+ " ms after its start: " + answers);
			if (missing == 0) {
				break;
			}
		}
		fixture.log(killed.name + " wrote " + Files.readString(killed.log()).lines().filter((l) -> l.contains("OutOfMemoryError")).count()
				+ " log lines with OutOfMemoryError, " + other.name + " "
				+ Files.readString(other.log()).lines().filter((l) -> l.contains("OutOfMemoryError")).count());
		fixture.log("clients: " + missing + " of " + PROBES + " jobs can't be read in full at " + killed.name);
		return missing == 0;
	}

}
