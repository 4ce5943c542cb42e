package org.wigeonglade.bench.batch;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.entry.batch.JobStatus;

/**
 * Measures batch work without runners: how many items the runtimes grant and make durable
 * in a second, with how many appends, and how long a lost owner interrupts a partition.
 */
public final class BatchBench {

	private static final int HOSTS = 3;

	private static final int PARTITIONS = 4;

	/** Default budget of the configuration. */
	private static final int APPENDS_PER_SECOND = 200;

	private static final int WORKERS_PER_HOST = 2;

	private static final int ITEMS_PER_REQUEST = 32;

	private static final long LIMIT_MILLIS = 240_000;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private BatchBench() {
	}

	/**
	 * Runs all measurements.
	 * @param items the items of the job, 100 to 150,000
	 * @param rebuild whether the rebuild is measured too
	 * @return the figures; {@code ok} tells whether the promises held
	 */
	public static JsonObject run(int items, boolean rebuild) {
		JsonObject result = new JsonObject().put("items", items)
			.put("hosts", HOSTS)
			.put("partitions", PARTITIONS)
			.put("append_budget_per_s", APPENDS_PER_SECOND);
		boolean ok = measureThroughput(result, items);
		ok &= measureTakeover(result, Math.max(2000, items / 5));
		if (rebuild) {
			result.put("rebuild", RebuildBench.run());
		}
		return result.put("ok", ok);
	}

	private static boolean measureThroughput(JsonObject result, int items) {
		try (BatchFleet fleet = BatchFleet.start(HOSTS, PARTITIONS, APPENDS_PER_SECOND);
				WorkerPool workers = new WorkerPool(fleet, ITEMS_PER_REQUEST, WorkerPool::complete)) {
			awaitOwners(fleet);
			long begin = System.nanoTime();
			JobStatus job = fleet.submit("host-0", "bench", BatchJobs.lines(BatchFleet.IDEMPOTENT, items));
			result.put("accept_ms", millisSince(begin));
			long appendsBefore = fleet.log().appends();
			begin = System.nanoTime();
			startWorkers(fleet, workers);
			awaitFinished(fleet, "host-0", job.id());
			double seconds = millisSince(begin) / MILLIS_PER_SECOND;
			long appends = fleet.log().appends() - appendsBefore;
			result.put("items_per_s", Math.round(items / seconds))
				.put("appends_per_1000_items", appends * 1000.0 / items)
				.put("appends_per_s", Math.round(appends / seconds));
			begin = System.nanoTime();
			boolean complete = check(result, fleet.results("host-1", job.id()), items, "");
			result.put("results_ms", millisSince(begin));
			return complete;
		}
	}

	private static boolean measureTakeover(JsonObject result, int items) {
		try (BatchFleet fleet = BatchFleet.start(HOSTS, PARTITIONS, APPENDS_PER_SECOND);
				WorkerPool workers = new WorkerPool(fleet, ITEMS_PER_REQUEST, (item) -> {
					// Keeps the job running long enough to lose its owner in the middle.
					LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
					return WorkerPool.complete(item);
				})) {
			awaitOwners(fleet);
			JobStatus job = fleet.submit("host-0", "", BatchJobs.lines(BatchFleet.IDEMPOTENT, items));
			startWorkers(fleet, workers);
			while (fleet.status("host-0", job.id()).completed() < items / 4) {
				LockSupport.parkNanos(Duration.ofMillis(2).toNanos());
			}
			String owner = owner(fleet, job.id().partition());
			fleet.kill(owner);
			long begin = System.nanoTime();
			String survivor = fleet.live().get(0);
			int before = fleet.status(survivor, job.id()).completed();
			while (owner(fleet, job.id().partition()) == null) {
				LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
			}
			result.put("takeover_ms", millisSince(begin));
			while (fleet.status(survivor, job.id()).completed() <= before) {
				LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
			}
			result.put("takeover_to_next_outcome_ms", millisSince(begin));
			awaitFinished(fleet, survivor, job.id());
			long repeated = workers.runs().values().stream().filter((runs) -> runs.get() > 1).count();
			result.put("items_run_again_after_takeover", repeated);
			return check(result, fleet.results(survivor, job.id()), items, "takeover_");
		}
	}

	private static boolean check(JsonObject result, List<String> lines, int items, String prefix) {
		Set<String> ids = new HashSet<>();
		int duplicates = 0;
		for (String line : lines) {
			duplicates += ids.add(new JsonObject(line).getString("custom_id")) ? 0 : 1;
		}
		int lost = items - ids.size();
		result.put(prefix + "duplicate_outcomes", duplicates).put(prefix + "lost", lost);
		return duplicates == 0 && lost == 0;
	}

	private static void startWorkers(BatchFleet fleet, WorkerPool workers) {
		for (String host : fleet.live()) {
			for (int i = 0; i < WORKERS_PER_HOST; i++) {
				workers.start(host, BatchFleet.IDEMPOTENT, false);
			}
		}
	}

	private static void awaitOwners(BatchFleet fleet) {
		for (int partition = 0; partition < PARTITIONS; partition++) {
			while (owner(fleet, partition) == null) {
				LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
			}
		}
	}

	private static void awaitFinished(BatchFleet fleet, String host, BatchId id) {
		long begin = System.nanoTime();
		while (fleet.status(host, id).state() == JobStatus.State.IN_PROGRESS) {
			if (millisSince(begin) > LIMIT_MILLIS) {
				throw new IllegalStateException("the job did not finish within " + LIMIT_MILLIS + " ms");
			}
			LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
		}
	}

	private static String owner(BatchFleet fleet, int partition) {
		for (String host : fleet.live()) {
			if (fleet.get(host).ownedPartitions().stream().anyMatch((view) -> view.getPartition() == partition)) {
				return host;
			}
		}
		return null;
	}

	private static long millisSince(long begin) {
		return (System.nanoTime() - begin) / 1_000_000;
	}

}
