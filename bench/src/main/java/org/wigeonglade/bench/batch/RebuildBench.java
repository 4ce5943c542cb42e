package org.wigeonglade.bench.batch;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.batch.PartitionReader;
import org.wigeonglade.core.batch.ReplayObserver;

/**
 * Measures how long a partition takes to come back from its stream and how much memory
 * its state keeps.
 */
final class RebuildBench {

	private static final int[] SIZES = { 10_000, 100_000, 1_000_000 };

	private static final int RECORDS_PER_READ = 64;

	private static final int ROUNDS = 3;

	private static final double NANOS_PER_MILLI = 1e6;

	private RebuildBench() {
	}

	static JsonObject run() {
		JsonArray points = new JsonArray();
		double firstMillis = 0;
		double lastMillis = 0;
		rebuild(MemoryLog.withItems(SIZES[1]));
		for (int size : SIZES) {
			MemoryLog log = MemoryLog.withItems(size);
			double best = Double.MAX_VALUE;
			for (int round = 0; round < ROUNDS; round++) {
				long start = System.nanoTime();
				rebuild(log);
				best = Math.min(best, (System.nanoTime() - start) / NANOS_PER_MILLI);
			}
			long before = usedBytes();
			PartitionReader kept = rebuild(log);
			long bytes = usedBytes() - before;
			points.add(new JsonObject().put("items", size)
				.put("records", log.size())
				.put("rebuild_ms", round(best))
				.put("bytes_per_item", round((double) bytes / size))
				.put("jobs", kept.getState().getJobs().size()));
			firstMillis = (size == SIZES[0]) ? best : firstMillis;
			lastMillis = best;
		}
		double slope = (lastMillis - firstMillis) / (SIZES[SIZES.length - 1] - SIZES[0]);
		return new JsonObject().put("points", points).put("ms_per_1000_items", round(slope * 1000));
	}

	private static PartitionReader rebuild(MemoryLog log) {
		PartitionReader reader = new PartitionReader(0, ReplayObserver.NONE);
		while (!reader.isCurrent()) {
			reader.offer(log.read(reader.getNextOffset(), RECORDS_PER_READ));
		}
		return reader;
	}

	private static long usedBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static double round(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

}
