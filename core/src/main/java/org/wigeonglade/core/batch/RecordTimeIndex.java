package org.wigeonglade.core.batch;

import java.util.Map;
import java.util.TreeMap;

/**
 * Sparse index from write time to offset, with samples at least one second apart. Records
 * before the first sample count as written at its time.
 */
final class RecordTimeIndex {

	private static final long SAMPLE_INTERVAL_MILLIS = 1000;

	/** Twelve hours of samples; the oldest are dropped first. */
	private static final int MAX_SAMPLES = 43_200;

	private final TreeMap<Long, Long> offsetByMillis = new TreeMap<>();

	void add(long offset, long wallMillis) {
		Map.Entry<Long, Long> last = this.offsetByMillis.lastEntry();
		if (last != null && wallMillis < last.getKey() + SAMPLE_INTERVAL_MILLIS) {
			return;
		}
		this.offsetByMillis.put(wallMillis, offset);
		if (this.offsetByMillis.size() > MAX_SAMPLES) {
			this.offsetByMillis.pollFirstEntry();
		}
	}

	// Returns an offset below which all records were written before a time, 0 if no
	// sample is that old. Records of the last second before that time may lie above it.
	long offsetAt(long wallMillis) {
		Map.Entry<Long, Long> sample = this.offsetByMillis.lowerEntry(wallMillis);
		return (sample != null) ? sample.getValue() + 1 : 0;
	}

}
