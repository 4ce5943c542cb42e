package review;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/** The machines are stopped and started in turn when many batch jobs are in the store. */
final class VolumeCase {

	private static final int EVENTS = 128;

	private static final int EVENT_BYTES = 79;

	private static final List<Integer> BURSTS = List.of(8_000, 22_000, 36_000, 50_000);

	/** Pause between two machines that are stopped in turn. */
	private static final long GAP_MILLIS = 1_000;

	private static final int PROBES = 5;

	private static final long OBSERVED_MILLIS = 15_000;

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
		List<Fixture.Job> jobs = fixture.submitTraffic("fill", BURSTS);
		Thread.sleep(2_000);
		List<Fixture.Job> probes = new ArrayList<>();
		List<Integer> before = new ArrayList<>();
		for (int i = 0; i < PROBES; i++) {
			Fixture.Job job = jobs.get(i * (jobs.size() - 1) / (PROBES - 1));
			probes.add(job);
			before.add(fixture.read(job, fixture.machines.get(0), 0).rows.size());
		}
		fixture.log("clients: " + jobs.size() + " jobs accepted, " + fixture.store.bytes("keyed.wigeonglade") / 1_000
				+ " kB in the store; results read of " + PROBES + " jobs: " + before);
		if (Fixture.TROUBLE) {
			for (Machine machine : fixture.machines) {
				fixture.log("platform: SIGTERM to " + machine.name);
				machine.stop();
				machine.start();
				fixture.await(machine.name + " to be ready", 15_000, machine::isReady);
				fixture.log(machine.name + " has started again and is ready");
				Thread.sleep(GAP_MILLIS);
			}
		}
		long deadline = System.currentTimeMillis() + OBSERVED_MILLIS;
		int missing;
		do {
			Thread.sleep(2_000);
			boolean[] readable = new boolean[PROBES];
			for (Machine machine : fixture.machines) {
				List<String> answers = new ArrayList<>();
				for (int i = 0; i < PROBES; i++) {
					Fixture.Results results = fixture.read(probes.get(i), machine, 0);
					answers.add(results.status + "/" + results.rows.size());
					readable[i] |= results.status == 200 && results.rows.size() >= before.get(i);
				}
				fixture.log("client: status and results at " + machine.name + ": " + answers);
			}
			missing = 0;
			for (boolean one : readable) {
				missing += one ? 0 : 1;
			}
		}
		while (missing > 0 && System.currentTimeMillis() < deadline);
		for (Machine machine : fixture.machines) {
			fixture.log(machine.name + " wrote " + Files.readString(machine.log()).lines().filter((l) -> l.contains("OutOfMemoryError")).count()
					+ " log lines with OutOfMemoryError");
		}
		fixture.log("clients: " + missing + " of " + PROBES + " jobs can't be read in full at any machine");
		return missing == 0;
	}

}
