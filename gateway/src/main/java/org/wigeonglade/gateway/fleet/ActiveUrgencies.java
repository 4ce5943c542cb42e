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

	private final TreeMap<Integer, Long> lastSeen = new TreeMap<>();

	private long expiredMillis = Long.MIN_VALUE / 2;

	void record(int urgency, long nowMillis) {
		this.lastSeen.put(urgency, nowMillis);
		if (this.lastSeen.size() > MAX_URGENCIES) {
			this.lastSeen.pollLastEntry();
		}
		if (nowMillis - this.expiredMillis > EXPIRY_MILLIS) {
			this.expiredMillis = nowMillis;
			this.lastSeen.values().removeIf((seen) -> nowMillis - seen > EXPIRY_MILLIS);
		}
	}

	int getCount() {
		return this.lastSeen.size();
	}

	// Returns the number of more urgent ones, less than the count.
	int getRank(int urgency) {
		int rank = 0;
		for (Map.Entry<Integer, Long> entry : this.lastSeen.entrySet()) {
			rank += (entry.getKey() < urgency) ? 1 : 0;
		}
		return Math.min(rank, this.lastSeen.size() - 1);
	}

}
