package org.wigeonglade.core.batch;

import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;

/**
 * Dependencies and settings shared by the classes that handle one partition on one host.
 *
 * @param partition the partition
 * @param stream the stream of the partition
 * @param identity the identity of this host as a log writer
 * @param log the log service
 * @param executor runs all tasks of the partition
 * @param ticker the clock
 * @param pacer limits the append rate of this host
 * @param cache reads single records
 * @param policy the batch settings in the published configuration
 * @param options the settings of this host
 * @param random source of the retry jitter
 * @param findSnapshot looks up the offset of the last snapshot, 0 if none is published
 * @param publishSnapshot publishes the offset of a new snapshot
 * @param account records decisions for operators
 */
public record PartitionContext(int partition, StreamName stream, WriterIdentity identity, LogService log,
		SerialExecutor executor, Ticker ticker, AppendPacer pacer, RecordCache cache, BatchPolicy policy,
		PartitionOptions options, RandomGenerator random, Supplier<Uni<Long>> findSnapshot,
		LongFunction<Uni<Void>> publishSnapshot, AccountRecorder account) {
}
