package org.wigeonglade.core.batch;

import java.util.Map;
import java.util.TreeMap;

/**
 * Remembers when records were written, by samples a second apart. Records before the
 * first sample count as old as that sample.
 */
final class RecordAges {

	private static final long STEP_MILLIS = 1000;

	/** Half a day of samples; older ones are dropped first. */
	private static final int MAX_SAMPLES = 43_200;

	private final TreeMap<Long, Long> offsetByMillis = new TreeMap<>();

	void add(long offset, long wallMillis) {
		Map.Entry<Long, Long> last = this.offsetByMillis.lastEntry();
		if (last != null && wallMillis < last.getKey() + STEP_MILLIS) {
			return;
		}
		this.offsetByMillis.put(wallMillis, offset);
		if (this.offsetByMillis.size() > MAX_SAMPLES) {
			this.offsetByMillis.pollFirstEntry();
		}
	}

	// Returns the offset below which records were written before a time. The records of
	// the last second before it may be missing.
	long offsetAt(long wallMillis) {
		Map.Entry<Long, Long> sample = this.offsetByMillis.lowerEntry(wallMillis);
		return (sample != null) ? sample.getValue() + 1 : 0;
	}

}
