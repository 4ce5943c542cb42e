package org.wigeonglade.core.batch;

import java.time.Duration;

/**
 * Settings of one host for its partitions.
 *
 * @param lease how long an owner may send neither digests nor records before its
 * partition is claimed
 * @param workLease how long a grant lasts without renewal
 * @param poll the interval between reads of a stream
 * @param rebalanceAfter how long another host must rank first before the owner releases
 * the partition
 * @param retainedRecords the number of records that the log retains at least; once
 * records have expired, the observed number applies if it is smaller
 * @param retainedFor the time for which the log retains a record at least, zero for no
 * limit
 * @param snapshotEvery the number of records between two snapshots
 * @param maxBufferedOutcomes the number of outcomes that may wait for their append before
 * grants and reports are refused
 * @param writer the settings of the log writers
 */
public record PartitionOptions(Duration lease, Duration workLease, Duration poll, Duration rebalanceAfter,
		long retainedRecords, Duration retainedFor, long snapshotEvery, int maxBufferedOutcomes, WriterOptions writer) {

	private static final long DEFAULT_RETAINED = 100_000;

	private static final long DEFAULT_SNAPSHOT_EVERY = 4096;

	private static final int DEFAULT_BUFFERED = 20_000;

	private static final int REBALANCE_LEASES = 5;

	/**
	 * Returns options with the default limits.
	 * @param lease how long an owner may send neither digests nor records
	 * @param workLease how long a grant lasts without renewal
	 * @param poll the interval between reads of a stream
	 * @param groupDelay how long entries are collected before an append
	 * @return the options, never null
	 */
	public static PartitionOptions of(Duration lease, Duration workLease, Duration poll, Duration groupDelay) {
		return new PartitionOptions(lease, workLease, poll, lease.multipliedBy(REBALANCE_LEASES), DEFAULT_RETAINED,
				Duration.ZERO, DEFAULT_SNAPSHOT_EVERY, DEFAULT_BUFFERED, WriterOptions.of(groupDelay));
	}

	/**
	 * Returns a copy with another retention.
	 * @param records the number of records that the log retains at least
	 * @param time the time for which the log retains a record at least, zero for no limit
	 * @param every the number of records between two snapshots
	 * @return the copy, never null
	 */
	public PartitionOptions withRetention(long records, Duration time, long every) {
		return new PartitionOptions(this.lease, this.workLease, this.poll, this.rebalanceAfter, records, time, every,
				this.maxBufferedOutcomes, this.writer);
	}

}
