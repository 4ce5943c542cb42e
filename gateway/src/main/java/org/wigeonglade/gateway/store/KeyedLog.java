package org.wigeonglade.gateway.store;

import java.time.Duration;
import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * Client of the keyed streams of the platform's store. A stream is a compacted log: it
 * keeps the latest record of each key indefinitely, and all records in order for a
 * limited time. Failures are reported as
 * {@link org.wigeonglade.core.error.PlatformException}; its code tells whether an append
 * may have taken effect.
 */
public interface KeyedLog {

	/**
	 * Lists the latest record of each key, one page per call.
	 * @param stream the stream, not null
	 * @param afterKey the last key of the previous page, or null for the first page
	 * @return a page; the pages of a listing are not a consistent snapshot
	 */
	Uni<KeyedPage> list(KeyedStream stream, String afterKey);

	/**
	 * Reads records in order, waiting until at least one is available or the wait is
	 * over.
	 * @param stream the stream, not null
	 * @param fromOffset the first offset, at least 0
	 * @param wait the maximum time to wait for a record, not null
	 * @return the records, possibly none; fails with
	 * {@link org.wigeonglade.core.error.ErrorCode#OFFSET_EXPIRED} if the offset is no
	 * longer retained
	 */
	Uni<KeyedSlice> read(KeyedStream stream, long fromOffset, Duration wait);

	/**
	 * Finds the end of a stream, with hardly any of its records.
	 * @param stream the stream, not null
	 * @param fromOffset an offset that is not beyond the end, at least 0
	 * @return the offset after the last record; fails with
	 * {@link org.wigeonglade.core.error.ErrorCode#OFFSET_EXPIRED} if the offset is no
	 * longer retained
	 */
	Uni<Long> findEnd(KeyedStream stream, long fromOffset);

	/**
	 * Appends records atomically.
	 * @param stream the stream, not null
	 * @param records the records, not empty; their offsets are ignored
	 * @return the offset of the first record
	 */
	Uni<Long> append(KeyedStream stream, List<KeyedRecord> records);

	/**
	 * Appends records atomically if the stream has not grown since the caller last read
	 * it.
	 * @param stream the stream, not null
	 * @param records the records, not empty; their offsets are ignored
	 * @param expectedEnd the offset after the last record that the caller has read
	 * @return the offset of the first record; fails with
	 * {@link org.wigeonglade.core.error.ErrorCode#APPEND_CONFLICT} if the stream has
	 * grown
	 */
	Uni<Long> appendAt(KeyedStream stream, List<KeyedRecord> records, long expectedEnd);

}
