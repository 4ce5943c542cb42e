package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemIntents;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.ItemOutcomes;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Partition during one term of ownership by this host: grants its items to dispatchers
 * and appends their outcomes to the log. Confined to the executor of the partition.
 */
final class OwnedPartition {

	private static final EventLogger LOG = EventLogger.of(OwnedPartition.class);

	/**
	 * Half of the default record size, so that other entries fit into the same record.
	 */
	private static final int OUTCOME_BYTES_PER_ENTRY = 128 * 1024;

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration INTENT_TIMEOUT = Duration.ofSeconds(5);

	private final PartitionContext context;

	private final long term;

	private final LogWriter writer;

	private final PartitionFollower follower;

	private final GrantScheduler scheduler;

	private final BooleanSupplier active;

	private final long startedMillis;

	private boolean closed;

	private boolean draining;

	private boolean inheritedAbandoned;

	private int bufferedOutcomes;

	OwnedPartition(PartitionContext context, PartitionState state, LogWriter writer, PartitionFollower follower) {
		this.context = context;
		this.term = state.getTerm();
		this.writer = writer;
		this.follower = follower;
		this.scheduler = new GrantScheduler(context.partition(), state, context.policy(),
				context.options().workLease().toMillis());
		this.active = () -> !this.closed
				&& state.isOwnedBy(context.identity().host(), context.identity().incarnation(), this.term);
		this.startedMillis = context.ticker().millis();
	}

	long getTerm() {
		return this.term;
	}

	boolean isActive() {
		return this.active.getAsBoolean();
	}

	int getBufferedOutcomes() {
		return this.bufferedOutcomes;
	}

	GrantScheduler getScheduler() {
		return this.scheduler;
	}

	void close() {
		this.closed = true;
	}

	void drain() {
		this.draining = true;
	}

	Uni<List<WorkItem>> grant(WorkRequest request) {
		if (this.draining || !isActive() || this.bufferedOutcomes >= this.context.options().maxBufferedOutcomes()) {
			return Uni.createFrom().item(List.of());
		}
		List<Grant> selected = this.scheduler.select(request.getService(), request.getMaxItems(), request.getIsolated(),
				this.context.ticker().millis(), this.context.ticker().wallMillis());
		if (selected.isEmpty()) {
			return Uni.createFrom().item(List.of());
		}
		return loadItems(selected).chain((loaded) -> recordIntents(loaded.keySet().stream().toList())
			.map((runnable) -> runnable.stream().map((grant) -> toItem(grant, loaded.get(grant))).toList()));
	}

	void report(List<WorkOutcome> reports, WorkAck.Builder ack) {
		List<GrantScheduler.StateChange> changes = new ArrayList<>();
		for (WorkOutcome report : reports) {
			if (this.bufferedOutcomes + changes.size() >= this.context.options().maxBufferedOutcomes()) {
				break;
			}
			GrantScheduler.StateChange change = this.scheduler.report(report);
			ack.addAcceptedGrants(report.getGrantId());
			if (!change.isNone()) {
				changes.add(change);
			}
		}
		recordChanges(changes);
	}

	void renew(long grantId, WorkAck.Builder ack) {
		if (!this.scheduler.renew(grantId, this.context.ticker().millis())) {
			ack.addRevokedGrants(grantId);
		}
	}

	void tick() {
		if (!isActive()) {
			return;
		}
		long now = this.context.ticker().millis();
		recordChanges(this.scheduler.expireLeases(now));
		if (!this.inheritedAbandoned && now - this.startedMillis >= this.context.options().workLease().toMillis()) {
			this.inheritedAbandoned = true;
			recordChanges(this.scheduler.abandonInheritedIntents());
		}
	}

	// Without a custom id the item is read first: the outcome replaces the only reference
	// to the record with its body and custom id.
	private void recordChanges(List<GrantScheduler.StateChange> changes) {
		List<GrantScheduler.StateChange> withCustomId = new ArrayList<>();
		for (GrantScheduler.StateChange change : changes) {
			if (change.crash() || !change.outcome().getCustomId().isEmpty()) {
				withCustomId.add(change);
			}
			else {
				resolveCustomId(change);
			}
		}
		appendChanges(withCustomId);
	}

	private void resolveCustomId(GrantScheduler.StateChange change) {
		long offset = change.job().getOffset(change.outcome().getIndex());
		this.context.cache()
			.get(this.context.stream(), offset)
			.emitOn(this.context.executor())
			.subscribe()
			.with((logRecord) -> {
				String customId = ItemRecords.findItem(logRecord, change.job().getId(), change.outcome().getIndex())
					.map(BatchItem::getCustomId)
					.orElse("");
				appendChanges(List.of(new GrantScheduler.StateChange(change.job(),
						change.outcome().toBuilder().setCustomId(customId).build(), false)));
			}, (failure) -> this.context.executor().execute(() -> {
				if (isExpired(failure)) {
					appendChanges(List.of(change));
				}
				else if (isActive()) {
					this.context.executor().schedule(RETRY_DELAY, () -> resolveCustomId(change));
				}
			}));
	}

	private void appendChanges(List<GrantScheduler.StateChange> changes) {
		Map<String, ItemIntents.Builder> crashes = new LinkedHashMap<>();
		Map<String, ItemOutcomes.Builder> outcomes = new LinkedHashMap<>();
		Map<String, Integer> sizes = new HashMap<>();
		for (GrantScheduler.StateChange change : changes) {
			String id = change.job().getId();
			if (change.crash()) {
				crashes.computeIfAbsent(id, (key) -> ItemIntents.newBuilder().setBatchId(key).setTerm(this.term))
					.setCrashed(true)
					.addIndexes(change.outcome().getIndex());
				continue;
			}
			recordOutcomeEvent(change);
			int size = sizes.merge(id, change.outcome().getSerializedSize(), Integer::sum);
			outcomes.computeIfAbsent(id, (key) -> ItemOutcomes.newBuilder().setBatchId(key).setTerm(this.term))
				.addOutcomes(change.outcome());
			if (size >= OUTCOME_BYTES_PER_ENTRY) {
				appendOutcomes(outcomes.remove(id));
				sizes.remove(id);
			}
		}
		crashes.values()
			.forEach((intents) -> appendEntry(LogEntry.newBuilder().setItemIntents(intents).build(),
					intents.getIndexesCount()));
		outcomes.values().forEach(this::appendOutcomes);
	}

	private void appendOutcomes(ItemOutcomes.Builder outcomes) {
		appendEntry(LogEntry.newBuilder().setItemOutcomes(outcomes).build(), outcomes.getOutcomesCount());
	}

	private void appendEntry(LogEntry entry, int count) {
		this.bufferedOutcomes += count;
		this.writer.append(List.of(entry), false, null, this.active).subscribe().with((offset) -> {
			this.bufferedOutcomes -= count;
			this.follower.catchUp().subscribe().with((ignored) -> {
			}, (failure) -> {
				// The next periodic read of the stream covers it.
			});
		}, (failure) -> this.bufferedOutcomes -= count);
	}

	private void recordOutcomeEvent(GrantScheduler.StateChange change) {
		ItemOutcome outcome = change.outcome();
		String subject = change.job().getId() + "/" + outcome.getIndex();
		Map<String, String> figures = Map.of("code", outcome.getErrorCode(), "attempts",
				Integer.toString(outcome.getAttempts()));
		if (outcome.getStatus() == OutcomeStatus.FAILED) {
			this.context.account().record(AccountCode.FAILED, "item", subject, null, figures);
		}
		else if (outcome.getStatus() == OutcomeStatus.UNKNOWN) {
			this.context.account().record(AccountCode.OUTCOME_UNKNOWN, "item", subject, null, figures);
		}
	}

	private Uni<Map<Grant, BatchItem>> loadItems(List<Grant> selected) {
		Map<Long, Uni<LoadedRecord>> reads = new LinkedHashMap<>();
		for (Grant grant : selected) {
			reads.computeIfAbsent(grant.getJob().getOffset(grant.getIndex()),
					(offset) -> this.context.cache()
						.get(this.context.stream(), offset)
						.map((logRecord) -> new LoadedRecord(offset, logRecord, null))
						.onFailure()
						.recoverWithItem((failure) -> new LoadedRecord(offset, null, failure)));
		}
		return Uni.join()
			.all(List.copyOf(reads.values()))
			.andCollectFailures()
			.emitOn(this.context.executor())
			.map((all) -> matchItems(selected, all));
	}

	private Map<Grant, BatchItem> matchItems(List<Grant> selected, List<LoadedRecord> all) {
		Map<Long, LoadedRecord> byOffset = new HashMap<>();
		all.forEach((loaded) -> byOffset.put(loaded.offset, loaded));
		Map<Grant, BatchItem> items = new LinkedHashMap<>();
		for (Grant grant : selected) {
			long offset = grant.getJob().getOffset(grant.getIndex());
			LoadedRecord loaded = byOffset.get(offset);
			BatchItem item = (loaded != null && loaded.logRecord != null)
					? ItemRecords.findItem(loaded.logRecord, grant.getJob().getId(), grant.getIndex()).orElse(null)
					: null;
			if (item != null && isActive() && ItemState.isOpen(grant.getJob().getState(grant.getIndex()))) {
				grant.setCustomId(item.getCustomId());
				items.put(grant, item);
			}
			else if (loaded != null && isExpired(loaded.failure)) {
				failExpired(grant, offset);
			}
			else {
				this.scheduler.withdraw(grant);
			}
		}
		return items;
	}

	private void failExpired(Grant grant, long offset) {
		LOG.log(BatchEvent.RECORD_EXPIRED, this.context.partition(), offset);
		WorkOutcome failure = WorkOutcome.newBuilder()
			.setBatchId(grant.getJob().getId())
			.setIndex(grant.getIndex())
			.setGrantId(grant.getId())
			.setStatus(WorkStatus.WORK_FAILED)
			.setErrorCode(ErrorCode.OFFSET_EXPIRED.getCode())
			.setErrorMessage("the body of the item is no longer retained by the log")
			.build();
		report(List.of(failure), WorkAck.newBuilder());
	}

	private Uni<List<Grant>> recordIntents(List<Grant> grants) {
		Map<JobState, ItemIntents.Builder> intents = new LinkedHashMap<>();
		for (Grant grant : grants) {
			if (!grant.getJob().getAccepted().getIdempotent()
					&& grant.getJob().getState(grant.getIndex()) == ItemState.PENDING) {
				intents
					.computeIfAbsent(grant.getJob(),
							(job) -> ItemIntents.newBuilder().setBatchId(job.getId()).setTerm(this.term))
					.addIndexes(grant.getIndex());
			}
		}
		if (intents.isEmpty()) {
			return Uni.createFrom().item(grants);
		}
		List<LogEntry> entries = intents.values()
			.stream()
			.map((intent) -> LogEntry.newBuilder().setItemIntents(intent).build())
			.toList();
		return this.writer.append(entries, true, INTENT_TIMEOUT, this.active)
			.chain(this.follower::catchUp)
			.emitOn(this.context.executor())
			.map((read) -> grants.stream().filter(this::isIntended).toList())
			.onFailure()
			.recoverWithItem(List.of())
			.emitOn(this.context.executor())
			.invoke((intended) -> grants.stream()
				.filter((g) -> !intended.contains(g))
				.forEach(this.scheduler::withdraw));
	}

	private boolean isIntended(Grant grant) {
		boolean open = ItemState.isOpen(grant.getJob().getState(grant.getIndex()));
		return isActive() && open && (grant.getJob().getAccepted().getIdempotent()
				|| grant.getJob().getState(grant.getIndex()) == ItemState.INTENDED);
	}

	private WorkItem toItem(Grant grant, BatchItem item) {
		return WorkItem.newBuilder()
			.setPartition(this.context.partition())
			.setTerm(this.term)
			.setBatchId(grant.getJob().getId())
			.setIndex(grant.getIndex())
			.setCustomId(item.getCustomId())
			.setBody(item.getBody())
			.setGrantId(grant.getId())
			.setAttempt(grant.getQueue().getAttempts(grant.getIndex()) + 1)
			.setIdempotent(grant.getJob().getAccepted().getIdempotent())
			.setSuspect(grant.isSuspect())
			.setWorkspace(grant.getJob().getAccepted().getWorkspace())
			.setDueWallTimeMs(grant.getJob().getAccepted().getDueWallTimeMs())
			.build();
	}

	private static boolean isExpired(Throwable failure) {
		return failure instanceof PlatformException platform && platform.getCode() == ErrorCode.OFFSET_EXPIRED;
	}

	/**
	 * Result of reading one record.
	 *
	 * @param offset the requested offset
	 * @param logRecord the record, null after a failure
	 * @param failure the failure, null after a success
	 */
	private record LoadedRecord(long offset, LogRecord logRecord, Throwable failure) {
	}

}
