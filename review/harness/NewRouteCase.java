package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A machine's connection to the store goes silent while a batch route is added. */
final class NewRouteCase {

	private static final int ITEMS = 40;

	public static void main(String[] args) throws Exception {
		Fixture.main(args, NewRouteCase::run);
	}

	private static boolean run(Fixture fixture) throws Exception {
		List<Map<String, Object>> routes = new ArrayList<>(List.of(Fixture.route("fill", "batch", 3)));
		fixture.start(3, 4, 8, routes);
		Machine affected = fixture.machines.get(1);
		if (Fixture.TROUBLE) {
			int open = affected.door.openConnections();
			int silent = 0;
			for (int i = 0; i < 200 && silent == 0; i++) {
				silent = affected.door.silence("topic=keyed.op");
				Thread.sleep(5);
			}
			fixture.log("store: " + silent + " of " + open + " open connections of " + affected.name + " are silent for good");
		}
		routes.add(Fixture.route("extra", "batch", 3));
		fixture.publish(routes);
		Thread.sleep(100);
		Fixture.Job job = new Fixture.Job("extra", ITEMS, 300);
		int status = fixture.submit(job, fixture.machines.get(0));
		fixture.log("client: job " + job.id + " of " + ITEMS + " items on the new route at edge-1: " + status);
		List<Map<String, Object>> rows = fixture.collect(job, fixture.machines.get(0), 18_000);
		int dead = 0;
		for (Map<String, Object> row : rows) {
			if ("dead_letter".equals(row.get("state"))) {
				dead++;
				fixture.log("client: item " + row.get("id") + " is dead_letter; runners ran it "
						+ fixture.runsOf((String) row.get("id")) + " times");
			}
		}
		fixture.log("client: " + rows.size() + " results, " + dead + " of them dead_letter without a failed run");
		return dead == 0 && rows.size() == ITEMS;
	}

}
