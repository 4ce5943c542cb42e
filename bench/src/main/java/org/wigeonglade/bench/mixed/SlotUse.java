package org.wigeonglade.bench.mixed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.standins.engine.EngineRecorder;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;
import org.wigeonglade.standins.engine.EngineStandIn;

/**
 * Sums from the ledgers of engines how long their slots were used in a window.
 *
 * @param onlineSeconds slot time of online requests
 * @param batchSeconds slot time of batch items
 * @param totalSeconds slot time that all engines had
 * @param batchCompleted batch items answered in the window
 */
record SlotUse(double onlineSeconds, double batchSeconds, double totalSeconds, long batchCompleted) {

	static SlotUse of(List<EngineStandIn> engines, int slots, long fromNanos, long toNanos) {
		double online = 0;
		double batch = 0;
		long completed = 0;
		for (EngineStandIn engine : engines) {
			Map<String, Long> started = new HashMap<>();
			for (EngineRecorder.Entry entry : engine.recorder().entries()) {
				if (entry.kind() == Kind.STARTED) {
					started.put(entry.requestId(), entry.nanos());
					continue;
				}
				if (entry.kind() == Kind.QUEUED || entry.kind() == Kind.FIRST_TOKEN) {
					continue;
				}
				Long start = started.remove(entry.requestId());
				if (start == null) {
					continue;
				}
				double seconds = overlap(start, entry.nanos(), fromNanos, toNanos);
				boolean isBatch = entry.requestId().startsWith("batch-");
				batch += isBatch ? seconds : 0;
				online += isBatch ? 0 : seconds;
				completed += (isBatch && entry.kind() == Kind.COMPLETED && seconds > 0) ? 1 : 0;
			}
			for (Map.Entry<String, Long> open : started.entrySet()) {
				double seconds = overlap(open.getValue(), toNanos, fromNanos, toNanos);
				boolean isBatch = open.getKey().startsWith("batch-");
				batch += isBatch ? seconds : 0;
				online += isBatch ? 0 : seconds;
			}
		}
		return new SlotUse(online, batch, engines.size() * slots * (toNanos - fromNanos) / 1e9, completed);
	}

	// Returns the part of the slot time left by online requests that batch items used.
	double idleSlotUse() {
		return this.batchSeconds / Math.max(1e-9, this.totalSeconds - this.onlineSeconds);
	}

	private static double overlap(long start, long end, long from, long to) {
		return Math.max(0, Math.min(end, to) - Math.max(start, from)) / 1e9;
	}

}
