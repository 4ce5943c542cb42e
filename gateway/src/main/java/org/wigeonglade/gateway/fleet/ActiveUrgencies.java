package org.wigeonglade.gateway.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * The urgencies of the recent requests for one service. Not thread-safe.
 */
final class ActiveUrgencies {

	/**
	 * Time without a request after which an urgency is not active any more: long, because
	 * one host of many sees rare requests seldom.
	 */
	private static final long EXPIRY_MILLIS = 60_000;

	/** Bound of the urgencies that are told apart; less urgent ones count as the last. */
	private static final int MAX_URGENCIES = 8;

	private final TreeMap<Integer, Demand> demands = new TreeMap<>();

	private long expiredMillis = Long.MIN_VALUE / 2;

	// Records a request and returns the recent ones of its urgency.
	Demand record(int urgency, long nowMillis) {
		Demand demand = this.demands.computeIfAbsent(urgency, (key) -> new Demand());
		demand.lastMillis = nowMillis;
		if (this.demands.size() > MAX_URGENCIES) {
			this.demands.pollLastEntry();
		}
		if (nowMillis - this.expiredMillis > EXPIRY_MILLIS) {
			this.expiredMillis = nowMillis;
			this.demands.values().removeIf((other) -> nowMillis - other.lastMillis > EXPIRY_MILLIS);
		}
		return demand;
	}

	int getCount() {
		return this.demands.size();
	}

	// Returns the number of more urgent ones, less than the count.
	int getRank(int urgency) {
		int rank = 0;
		for (Map.Entry<Integer, Demand> entry : this.demands.entrySet()) {
			rank += (entry.getKey() < urgency) ? 1 : 0;
		}
		return Math.min(rank, this.demands.size() - 1);
	}

	/**
	 * The recent requests of one urgency at this host while capacity was short.
	 */
	static final class Demand {

		private final DecayedCount decided = new DecayedCount(WorkspaceRates.WINDOW_SECONDS);

		private final DecayedCount admitted = new DecayedCount(WorkspaceRates.WINDOW_SECONDS);

		private long lastMillis;

		void recordDecision(boolean wasAdmitted, long nowMillis) {
			this.decided.add(1, nowMillis);
			this.admitted.add(wasAdmitted ? 1 : 0, nowMillis);
		}

		// Returns a share from 0 to 1, 1 without recent decisions.
		double getAdmittedShare(long nowMillis) {
			return (this.admitted.get(nowMillis) + 1) / (this.decided.get(nowMillis) + 1);
		}

	}

}
