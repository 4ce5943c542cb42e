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
 * What the parts of one partition on one host share.
 *
 * @param partition the partition
 * @param stream its stream
 * @param identity this host as a writer
 * @param log the log
 * @param lane runs everything of the partition
 * @param ticker the time
 * @param pacer the append budget of this host
 * @param cache reads single records
 * @param policy the configuration
 * @param options the settings
 * @param random the jitter of retries
 * @param findSnapshot finds the offset of the last snapshot, 0 if none is known
 * @param publishSnapshot makes the offset of a snapshot known
 * @param account records decisions
 */
public record PartitionContext(int partition, StreamName stream, WriterIdentity identity, LogService log, Lane lane,
		Ticker ticker, AppendPacer pacer, RecordCache cache, BatchPolicy policy, PartitionOptions options,
		RandomGenerator random, Supplier<Uni<Long>> findSnapshot, LongFunction<Uni<Void>> publishSnapshot,
		AccountRecorder account) {
}
