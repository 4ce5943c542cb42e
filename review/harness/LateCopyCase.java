package review;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A faulty runner sends a second, late copy of a 500 answer to a batch item. */
final class LateCopyCase {

	private static final int MAX_ATTEMPTS = 2;

	private static final int TRIALS = 3;

	private static final int SOUND_ITEMS = 40;

	public static void main(String[] args) throws Exception {
		Fixture.main(args, LateCopyCase::run);
	}

	private static boolean run(Fixture fixture) throws Exception {
		fixture.start(2, 2, 8, List.of(Fixture.route("fill", "batch", MAX_ATTEMPTS)));
		Set<String> failing = ConcurrentHashMap.newKeySet();
		for (Runner runner : fixture.runners) {
			runner.special = (run, request, connection) -> {
				if (!failing.remove(run.requestId)) {
					return false;
				}
				byte[] answer = Http.encode(500, runner.headers(run.requestId), "failed".getBytes());
				connection.send(answer);
				connection.lateCopy = Fixture.TROUBLE ? answer : null;
				run.outcome = "500";
				return true;
			};
		}
		boolean held = true;
		for (int trial = 1; trial <= TRIALS; trial++) {
			Fixture.Job sound = new Fixture.Job("fill", SOUND_ITEMS, 300);
			fixture.log("client: job " + sound.id + " of " + SOUND_ITEMS + " items: "
					+ fixture.submit(sound, fixture.machines.get(0)));
			fixture.log("client: " + fixture.collect(sound, fixture.machines.get(0), 18_000).size() + " results of it");
			Fixture.Job job = new Fixture.Job("fill", 1, 300);
			String item = job.items.get(0);
			failing.add(item);
			fixture.log("client: job " + job.id + " of item " + item + ": " + fixture.submit(job, fixture.machines.get(1)));
			List<Map<String, Object>> rows = fixture.collect(job, fixture.machines.get(0), 18_000);
			Thread.sleep(1_000);
			int failures = 0;
			for (Runner runner : fixture.runners) {
				for (Runner.Run run : runner.runs) {
					if (run.requestId.equals(item)) {
						fixture.log("runner " + runner.id + ": ran the item: " + run.outcome);
						failures += run.outcome.equals("500") ? 1 : 0;
					}
				}
			}
			String state = rows.isEmpty() ? "no result" : (String) rows.get(0).get("state");
			fixture.log("client: item " + item + " is " + state + " after " + failures + " answers of 500 of " + MAX_ATTEMPTS);
			held &= !(state.equals("dead_letter") && failures < MAX_ATTEMPTS) && !state.equals("no result");
		}
		return held;
	}

}
