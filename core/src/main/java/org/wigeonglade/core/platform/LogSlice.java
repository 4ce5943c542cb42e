package org.wigeonglade.core.platform;

import java.util.List;

/**
 * Consecutive records of a stream, with the range of offsets that the stream retains.
 *
 * @param records the records in offset order, may be empty
 * @param oldestOffset the offset of the oldest retained record, or the head of an empty
 * stream
 * @param headOffset the offset that the next append will get
 */
public record LogSlice(List<StoredRecord> records, long oldestOffset, long headOffset) {

	/**
	 * Creates the slice with a copy of the records.
	 */
	public LogSlice {
		records = List.copyOf(records);
	}

}
