package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.schema.generated.log.ExpiredKey;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.StateExpired;

/**
 * Periodic maintenance of an owned partition, whose records expire in the log: writes
 * snapshots, re-appends records that are still referenced once they are in the older half
 * of the retained range, and removes finished jobs and keys after their retention time.
 * Runs one task at a time. Confined to the executor of the partition.
 */
final class PartitionMaintenance {

	private static final EventLogger LOG = EventLogger.of(PartitionMaintenance.class);

	/** Bounds one task, so that outcomes and acceptances are appended in between. */
	private static final int RECORDS_PER_PASS = 256;

	private static final int BYTES_PER_PASS = 1024 * 1024;

	private static final int BYTES_PER_APPEND = 128 * 1024;

	private static final long EXPIRY_CHECK_MILLIS = 60_000;

	/**
	 * A snapshot is written, and a record appended again, after a third of the retention
	 * time.
	 */
	private static final long RETENTION_PARTS = 3;

	private final PartitionContext context;

	private final PartitionState state;

	private final LogWriter writer;

	private final PartitionFollower follower;

	private final BooleanSupplier active;

	private final RecordTimeIndex recordTimes;

	/**
	 * Offsets of records that expired while still referenced and cannot be appended
	 * again.
	 */
	private final Set<Long> expiredOffsets = new HashSet<>();

	private boolean taskRunning;

	private long snapshotCount;

	private long nextExpiryCheckMillis;

	private long lastSnapshotMillis;

	PartitionMaintenance(PartitionContext context, PartitionState state, LogWriter writer, PartitionFollower follower,
			BooleanSupplier active, RecordTimeIndex recordTimes) {
		this.context = context;
		this.state = state;
		this.writer = writer;
		this.follower = follower;
		this.active = active;
		this.recordTimes = recordTimes;
		this.lastSnapshotMillis = context.ticker().millis();
		this.nextExpiryCheckMillis = context.ticker().millis() + EXPIRY_CHECK_MILLIS;
	}

	void tick() {
		if (this.taskRunning || !this.active.getAsBoolean()) {
			return;
		}
		long retainedCount = retainedRecords();
		long sinceSnapshot = this.state.getAppliedOffset() - Math.max(0, this.state.getSnapshotCovers());
		long reappendLimit = Math.max(this.follower.getHeadOffset() - retainedCount / 2, offsetOfOldRecords());
		if (sinceSnapshot >= Math.max(1, Math.min(this.context.options().snapshotEvery(), retainedCount / 4))
				|| isSnapshotOld()) {
			this.lastSnapshotMillis = this.context.ticker().millis();
			run("snapshot", snapshot());
			return;
		}
		List<Long> offsets = LiveRecords.findOffsets(this.state, reappendLimit, RECORDS_PER_PASS, this.expiredOffsets);
		if (!offsets.isEmpty()) {
			run("carry", reappend(offsets));
		}
		else if (this.context.ticker().millis() >= this.nextExpiryCheckMillis) {
			this.nextExpiryCheckMillis = this.context.ticker().millis() + EXPIRY_CHECK_MILLIS;
			expireState();
		}
	}

	// Records are due after a third of the retention time. Another third covers records
	// of an earlier owner, whose write times were not sampled here, and the last third
	// the appends.
	private long offsetOfOldRecords() {
		long retentionMillis = this.context.options().retainedFor().toMillis();
		return (retentionMillis > 0)
				? this.recordTimes.offsetAt(this.context.ticker().wallMillis() - retentionMillis / RETENTION_PARTS) : 0;
	}

	private boolean isSnapshotOld() {
		long retentionMillis = this.context.options().retainedFor().toMillis();
		return retentionMillis > 0
				&& this.context.ticker().millis() - this.lastSnapshotMillis >= retentionMillis / RETENTION_PARTS;
	}

	private long retainedRecords() {
		long configured = this.context.options().retainedRecords();
		if (this.follower.getOldestOffset() == 0) {
			return configured;
		}
		return Math.max(4, Math.min(configured, this.follower.getHeadOffset() - this.follower.getOldestOffset()));
	}

	private void run(String task, Uni<?> work) {
		this.taskRunning = true;
		work.emitOn(this.context.executor()).subscribe().with((done) -> this.taskRunning = false, (failure) -> {
			this.taskRunning = false;
			if (this.active.getAsBoolean()) {
				LOG.log(BatchEvent.TASK_FAILED, failure, this.context.partition(), task);
			}
		});
	}

	private Uni<Void> snapshot() {
		String id = this.context.identity().host() + "-" + this.context.identity().incarnation() + "-"
				+ this.state.getTerm() + "-" + this.snapshotCount++;
		List<LogEntry> entries = PartitionSnapshot.encode(this.state, id);
		long coveredOffset = this.state.getAppliedOffset();
		long[] firstOffset = { -1 };
		Uni<Long> chain = Uni.createFrom().item(0L);
		for (List<LogEntry> group : groupBySize(entries)) {
			chain = chain.chain(() -> append(group))
				.invoke((offset) -> firstOffset[0] = (firstOffset[0] < 0) ? offset : firstOffset[0]);
		}
		return chain.chain(this.follower::catchUp).chain((read) -> {
			LOG.log(BatchEvent.SNAPSHOT_WRITTEN, this.context.partition(), coveredOffset, entries.size());
			return this.context.publishSnapshot().apply(firstOffset[0]);
		});
	}

	// Entries of many records are appended together, so that the results of small jobs
	// need few appends.
	private Uni<Void> reappend(List<Long> offsets) {
		List<LogEntry> entries = new ArrayList<>();
		Uni<Integer> chain = Uni.createFrom().item(0);
		for (long offset : offsets) {
			chain = chain.chain((bytes) -> (bytes >= BYTES_PER_PASS) ? Uni.createFrom().item(bytes)
					: collectCopies(offset, entries).map((copiedBytes) -> bytes + copiedBytes));
		}
		return chain.chain(() -> appendAll(entries))
			.chain(this.follower::catchUp)
			.invoke(() -> LOG.log(BatchEvent.RECORDS_REAPPENDED, this.context.partition(), offsets.size()))
			.replaceWithVoid();
	}

	private Uni<Integer> collectCopies(long offset, List<LogEntry> entries) {
		return this.context.cache()
			.get(this.context.stream(), offset)
			.emitOn(this.context.executor())
			.map((logRecord) -> {
				List<LogEntry> copies = LiveRecords.copyEntries(this.state, offset, logRecord);
				entries.addAll(copies);
				return copies.stream().mapToInt(LogEntry::getSerializedSize).sum();
			})
			.onFailure((failure) -> failure instanceof PlatformException platform
					&& platform.getCode() == ErrorCode.OFFSET_EXPIRED)
			.recoverWithItem(() -> {
				LOG.log(BatchEvent.RECORD_EXPIRED, this.context.partition(), offset);
				this.expiredOffsets.add(offset);
				return 0;
			});
	}

	private Uni<Long> appendAll(List<LogEntry> entries) {
		Uni<Long> chain = Uni.createFrom().item(0L);
		for (List<LogEntry> group : groupBySize(entries)) {
			chain = chain.chain(() -> append(group));
		}
		return chain;
	}

	private Uni<Long> append(List<LogEntry> entries) {
		return this.writer.append(entries, false, null, this.active);
	}

	private void expireState() {
		long cutoffWallMillis = this.context.ticker().wallMillis() - this.context.policy().getRetentionMillis();
		StateExpired.Builder expired = StateExpired.newBuilder().setTerm(this.state.getTerm());
		this.state.getJobs()
			.stream()
			.filter((job) -> job.isFinished() && job.getFinishedWallMillis() < cutoffWallMillis)
			.forEach((job) -> expired.addBatchIds(job.getId()));
		this.state.keys()
			.values()
			.stream()
			.filter((key) -> key.intent() != null && key.intent().getAcceptedWallTimeMs() < cutoffWallMillis)
			.forEach((key) -> expired.addKeys(ExpiredKey.newBuilder()
				.setWorkspace(key.intent().getWorkspace())
				.setIdempotencyKey(key.intent().getIdempotencyKey())));
		if (expired.getBatchIdsCount() + expired.getKeysCount() > 0) {
			run("expiry", append(List.of(LogEntry.newBuilder().setStateExpired(expired).build())));
		}
	}

	private static List<List<LogEntry>> groupBySize(List<LogEntry> entries) {
		List<List<LogEntry>> groups = new ArrayList<>();
		List<LogEntry> current = new ArrayList<>();
		int bytes = 0;
		for (LogEntry entry : entries) {
			if (!current.isEmpty() && bytes + entry.getSerializedSize() > BYTES_PER_APPEND) {
				groups.add(current);
				current = new ArrayList<>();
				bytes = 0;
			}
			current.add(entry);
			bytes += entry.getSerializedSize();
		}
		if (!current.isEmpty()) {
			groups.add(current);
		}
		return groups;
	}

}
