package org.wigeonglade.gateway.store;

import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * Client of a log of the gateway in the platform's store that keeps records for a limited
 * time only. Failures are reported as
 * {@link org.wigeonglade.core.error.PlatformException}.
 */
public interface PartitionedLog {

	/**
	 * Returns the number of partitions.
	 * @return the number, at least 1 and the same on all hosts
	 */
	int getPartitionCount();

	/**
	 * Appends records atomically.
	 * @param partition the partition, from 0
	 * @param records the records, not empty; their offsets are ignored
	 * @return the offset of the first record
	 */
	Uni<Long> append(int partition, List<KeyedRecord> records);

	/**
	 * Reads records in order without waiting for further ones.
	 * @param partition the partition, from 0
	 * @param fromOffset the first offset, at least 0; the read starts at the oldest
	 * retained record if that one is later
	 * @return the records, possibly none
	 */
	Uni<KeyedSlice> read(int partition, long fromOffset);

}
