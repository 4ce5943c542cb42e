package org.wigeonglade.core.platform;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.StreamName;

/**
 * Append-only streams of the platform. Offsets of a stream are dense and start at 0; the
 * oldest records expire.
 */
public interface LogService {

	/**
	 * Appends a record.
	 * @param stream the stream, created by its first append
	 * @param record the encoded record, not null
	 * @return the offset of the record; fails with
	 * {@link org.wigeonglade.core.error.PlatformException}, whose code indicates whether
	 * the record may have been appended
	 */
	Uni<Long> append(StreamName stream, byte[] record);

	/**
	 * Reads records in offset order.
	 * @param stream the stream; one that does not exist is empty
	 * @param fromOffset the first offset, at least 0; if it has expired, the read starts
	 * at the oldest retained one
	 * @param maxRecords the largest number of records, at least 1
	 * @return the records and the retained range; fails with
	 * {@link org.wigeonglade.core.error.PlatformException}
	 */
	Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords);

}
