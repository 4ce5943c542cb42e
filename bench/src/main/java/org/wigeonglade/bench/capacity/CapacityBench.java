package org.wigeonglade.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Takes all slopes of the capacity page again.
 */
public final class CapacityBench {

	/** Number of slopes that {@link #run} takes. */
	public static final int SLOPES = 14;

	private static final List<Integer> ITEMS = List.of(20_000, 60_000, 120_000, 240_000);

	private static final List<Integer> MEMORY_ITEMS = List.of(100_000, 300_000, 600_000);

	private static final List<Integer> LOG_ITEMS = List.of(1000, 5000, 20_000);

	private static final List<Integer> UPSTREAMS = List.of(6, 12, 24, 48, 75);

	private static final List<Integer> PEERS = List.of(10, 24, 44, 60);

	private static final List<Integer> WORKSPACES = List.of(300, 1000, 1800, 2700);

	/** Upstream views in a digest: one subset of the largest service. */
	private static final int UPSTREAMS_PER_DIGEST = 24;

	private CapacityBench() {
	}

	/**
	 * Measures all slopes, which takes about two minutes on one core.
	 * @param progress is told the name of each slope when it is done
	 * @return the slopes in order of the capacity page
	 */
	public static List<Slope> run(Consumer<String> progress) {
		List<Slope> slopes = new ArrayList<>();
		Consumer<Slope> add = (slope) -> {
			slopes.add(slope);
			progress.accept(slope.name());
		};
		add.accept(ReplaySlopes.time(ITEMS));
		add.accept(ReplaySlopes.memory(MEMORY_ITEMS));
		add.accept(ReplaySlopes.snapshotBytes(MEMORY_ITEMS));
		add.accept(
				ReplaySlopes.logBytes(LOG_ITEMS, ReplaySlopes.BODY_BYTES, ReplaySlopes.RESULT_BYTES, "append.bytes"));
		add.accept(ReplaySlopes.logBytes(LOG_ITEMS, 0, 0, "append.bytes.overhead"));
		add.accept(DigestSlopes.bytesPerUpstream(UPSTREAMS));
		add.accept(DigestSlopes.bytesPerRelayedHost(List.of(2, 4, 8, 16)));
		add.accept(DigestSlopes.encodeTime(UPSTREAMS));
		add.accept(DigestSlopes.receiveTime(PEERS, UPSTREAMS_PER_DIGEST));
		add.accept(DecisionSlopes.routing(UPSTREAMS, false));
		add.accept(DecisionSlopes.routing(UPSTREAMS, true));
		add.accept(DecisionSlopes.configuration("configuration.bytes", "bytes", WORKSPACES, (body) -> body.length));
		add.accept(DecisionSlopes.configuration("configuration.read", "us", WORKSPACES, DecisionSlopes::readMicros));
		add.accept(
				DecisionSlopes.configuration("configuration.memory", "bytes", WORKSPACES, DecisionSlopes::heapBytes));
		return List.copyOf(slopes);
	}

}
