package org.wigeonglade.core.batch;

import java.time.Duration;

/**
 * Settings of a log writer.
 *
 * @param groupDelay how long entries are collected before an append
 * @param maxRecordBytes the size of waiting entries, in bytes, at which a record is
 * appended without delay
 * @param answerTimeout how long an append may take before its result counts as unknown
 * @param firstBackoff the largest delay before the first retry
 * @param maxBackoff the largest delay before any retry
 */
public record WriterOptions(Duration groupDelay, int maxRecordBytes, Duration answerTimeout, Duration firstBackoff,
		Duration maxBackoff) {

	private static final int DEFAULT_RECORD_BYTES = 256 * 1024;

	/**
	 * Returns options with the default limits.
	 * @param groupDelay how long entries are collected before an append
	 * @return the options, never null
	 */
	public static WriterOptions of(Duration groupDelay) {
		return new WriterOptions(groupDelay, DEFAULT_RECORD_BYTES, Duration.ofSeconds(10), Duration.ofMillis(50),
				Duration.ofSeconds(2));
	}

}
