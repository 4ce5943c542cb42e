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
 * Keeps the state of an owned partition readable although its records expire: writes
 * snapshots, appends needed records again before they pass the oldest half of the
 * retention, and ends the retention of finished jobs. Confined to the lane.
 */
final class PartitionKeeper {

	private static final EventLogger LOG = EventLogger.of(PartitionKeeper.class);

	/** Bounds one pass, so that outcomes and acceptances get their turn in between. */
	private static final int RECORDS_PER_PASS = 256;

	private static final int BYTES_PER_PASS = 1024 * 1024;

	private static final int BYTES_PER_APPEND = 128 * 1024;

	private static final long EXPIRY_CHECK_MILLIS = 60_000;

	private static final long AGE_PARTS = 3;

	private final PartitionContext context;

	private final PartitionState state;

	private final LogWriter writer;

	private final PartitionFollower follower;

	private final BooleanSupplier active;

	private final RecordAges ages;

	/**
	 * Records that expired although they were needed; they cannot be carried any more.
	 */
	private final Set<Long> lost = new HashSet<>();

	private boolean busy;

	private long snapshots;

	private long nextExpiryMillis;

	private long snapshotMillis;

	PartitionKeeper(PartitionContext context, PartitionState state, LogWriter writer, PartitionFollower follower,
			BooleanSupplier active, RecordAges ages) {
		this.context = context;
		this.state = state;
		this.writer = writer;
		this.follower = follower;
		this.active = active;
		this.ages = ages;
		this.snapshotMillis = context.ticker().millis();
		this.nextExpiryMillis = context.ticker().millis() + EXPIRY_CHECK_MILLIS;
	}

	void tick() {
		if (this.busy || !this.active.getAsBoolean()) {
			return;
		}
		long retained = retainedRecords();
		long behind = this.state.getAppliedOffset() - Math.max(0, this.state.getSnapshotCovers());
		long below = Math.max(this.follower.getHeadOffset() - retained / 2, offsetOfOldRecords());
		if (behind >= Math.max(1, Math.min(this.context.options().snapshotEvery(), retained / 4)) || isSnapshotOld()) {
			this.snapshotMillis = this.context.ticker().millis();
			run("snapshot", snapshot());
			return;
		}
		List<Long> offsets = CarriedRecords.findOffsets(this.state, below, RECORDS_PER_PASS, this.lost);
		if (!offsets.isEmpty()) {
			run("carry", carry(offsets));
		}
		else if (this.context.ticker().millis() >= this.nextExpiryMillis) {
			this.nextExpiryMillis = this.context.ticker().millis() + EXPIRY_CHECK_MILLIS;
			expire();
		}
	}

	// A third of the time is left for what an earlier owner did not sample, and a third
	// for
	// the appends themselves.
	private long offsetOfOldRecords() {
		long time = this.context.options().retainedFor().toMillis();
		return (time > 0) ? this.ages.offsetAt(this.context.ticker().wallMillis() - time / AGE_PARTS) : 0;
	}

	private boolean isSnapshotOld() {
		long time = this.context.options().retainedFor().toMillis();
		return time > 0 && this.context.ticker().millis() - this.snapshotMillis >= time / AGE_PARTS;
	}

	private long retainedRecords() {
		long configured = this.context.options().retainedRecords();
		if (this.follower.getOldestOffset() == 0) {
			return configured;
		}
		return Math.max(4, Math.min(configured, this.follower.getHeadOffset() - this.follower.getOldestOffset()));
	}

	private void run(String task, Uni<?> work) {
		this.busy = true;
		work.emitOn(this.context.lane()).subscribe().with((done) -> this.busy = false, (failure) -> {
			this.busy = false;
			if (this.active.getAsBoolean()) {
				LOG.log(BatchEvent.TASK_FAILED, failure, this.context.partition(), task);
			}
		});
	}

	private Uni<Void> snapshot() {
		String id = this.context.identity().host() + "-" + this.context.identity().incarnation() + "-"
				+ this.state.getTerm() + "-" + this.snapshots++;
		List<LogEntry> entries = PartitionSnapshot.encode(this.state, id);
		long covers = this.state.getAppliedOffset();
		long[] first = { -1 };
		Uni<Long> chain = Uni.createFrom().item(0L);
		for (List<LogEntry> group : group(entries)) {
			chain = chain.chain(() -> append(group)).invoke((offset) -> first[0] = (first[0] < 0) ? offset : first[0]);
		}
		return chain.chain(this.follower::catchUp).chain((read) -> {
			LOG.log(BatchEvent.SNAPSHOT_WRITTEN, this.context.partition(), covers, entries.size());
			return this.context.publishSnapshot().apply(first[0]);
		});
	}

	// Small records are merged, so that many results of small jobs cost one append.
	private Uni<Void> carry(List<Long> offsets) {
		List<LogEntry> entries = new ArrayList<>();
		Uni<Integer> chain = Uni.createFrom().item(0);
		for (long offset : offsets) {
			chain = chain.chain((bytes) -> (bytes >= BYTES_PER_PASS) ? Uni.createFrom().item(bytes)
					: collect(offset, entries).map((more) -> bytes + more));
		}
		return chain.chain(() -> appendAll(entries))
			.chain(this.follower::catchUp)
			.invoke(() -> LOG.log(BatchEvent.RECORDS_CARRIED, this.context.partition(), offsets.size()))
			.replaceWithVoid();
	}

	private Uni<Integer> collect(long offset, List<LogEntry> entries) {
		return this.context.cache().get(this.context.stream(), offset).emitOn(this.context.lane()).map((found) -> {
			List<LogEntry> carried = CarriedRecords.carry(this.state, offset, found);
			entries.addAll(carried);
			return carried.stream().mapToInt(LogEntry::getSerializedSize).sum();
		})
			.onFailure((failure) -> failure instanceof PlatformException platform
					&& platform.getCode() == ErrorCode.OFFSET_EXPIRED)
			.recoverWithItem(() -> {
				LOG.log(BatchEvent.RECORD_EXPIRED, this.context.partition(), offset);
				this.lost.add(offset);
				return 0;
			});
	}

	private Uni<Long> appendAll(List<LogEntry> entries) {
		Uni<Long> chain = Uni.createFrom().item(0L);
		for (List<LogEntry> group : group(entries)) {
			chain = chain.chain(() -> append(group));
		}
		return chain;
	}

	private Uni<Long> append(List<LogEntry> entries) {
		return this.writer.append(entries, false, null, this.active);
	}

	private void expire() {
		long before = this.context.ticker().wallMillis() - this.context.policy().getRetentionMillis();
		StateExpired.Builder expired = StateExpired.newBuilder().setTerm(this.state.getTerm());
		this.state.getJobs()
			.stream()
			.filter((job) -> job.isFinished() && job.getFinishedWallMillis() < before)
			.forEach((job) -> expired.addBatchIds(job.getId()));
		this.state.keys()
			.values()
			.stream()
			.filter((key) -> key.intent() != null && key.intent().getAcceptedWallTimeMs() < before)
			.forEach((key) -> expired.addKeys(ExpiredKey.newBuilder()
				.setWorkspace(key.intent().getWorkspace())
				.setIdempotencyKey(key.intent().getIdempotencyKey())));
		if (expired.getBatchIdsCount() + expired.getKeysCount() > 0) {
			run("expiry", append(List.of(LogEntry.newBuilder().setStateExpired(expired).build())));
		}
	}

	private static List<List<LogEntry>> group(List<LogEntry> entries) {
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
