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
 * Grants the items of a partition during one term and makes their outcomes durable.
 * Confined to the lane of the partition.
 */
final class PartitionOwner {

	private static final EventLogger LOG = EventLogger.of(PartitionOwner.class);

	/** Leaves room for other entries in a record of the writer. */
	private static final int OUTCOME_BYTES_PER_ENTRY = 128 * 1024;

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration INTENT_TIMEOUT = Duration.ofSeconds(5);

	private final PartitionContext context;

	private final long term;

	private final LogWriter writer;

	private final PartitionFollower follower;

	private final WorkLedger ledger;

	private final BooleanSupplier active;

	private final long startedMillis;

	private boolean closed;

	private boolean draining;

	private boolean inheritedDone;

	private int buffered;

	PartitionOwner(PartitionContext context, PartitionState state, LogWriter writer, PartitionFollower follower) {
		this.context = context;
		this.term = state.getTerm();
		this.writer = writer;
		this.follower = follower;
		this.ledger = new WorkLedger(context.partition(), state, context.policy(),
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

	int getBuffered() {
		return this.buffered;
	}

	WorkLedger getLedger() {
		return this.ledger;
	}

	void close() {
		this.closed = true;
	}

	void drain() {
		this.draining = true;
	}

	Uni<List<WorkItem>> grant(WorkRequest request) {
		if (this.draining || !isActive() || this.buffered >= this.context.options().maxBufferedOutcomes()) {
			return Uni.createFrom().item(List.of());
		}
		List<Grant> selected = this.ledger.select(request.getService(), request.getMaxItems(), request.getIsolated(),
				this.context.ticker().millis(), this.context.ticker().wallMillis());
		if (selected.isEmpty()) {
			return Uni.createFrom().item(List.of());
		}
		return load(selected).chain((loaded) -> intend(loaded.keySet().stream().toList())
			.map((allowed) -> allowed.stream().map((grant) -> toItem(grant, loaded.get(grant))).toList()));
	}

	void report(List<WorkOutcome> reports, WorkAck.Builder ack) {
		List<WorkLedger.Verdict> verdicts = new ArrayList<>();
		for (WorkOutcome report : reports) {
			if (this.buffered + verdicts.size() >= this.context.options().maxBufferedOutcomes()) {
				break;
			}
			WorkLedger.Verdict verdict = this.ledger.report(report);
			ack.addAcceptedGrants(report.getGrantId());
			if (!verdict.isNothing()) {
				verdicts.add(verdict);
			}
		}
		settle(verdicts);
	}

	void renew(long grantId, WorkAck.Builder ack) {
		if (!this.ledger.renew(grantId, this.context.ticker().millis())) {
			ack.addRevokedGrants(grantId);
		}
	}

	void tick() {
		if (!isActive()) {
			return;
		}
		long now = this.context.ticker().millis();
		settle(this.ledger.lapse(now));
		if (!this.inheritedDone && now - this.startedMillis >= this.context.options().workLease().toMillis()) {
			this.inheritedDone = true;
			settle(this.ledger.abandonInherited());
		}
	}

	// Items whose custom id is not at hand are read first, because the outcome replaces
	// the only reference to the body.
	private void settle(List<WorkLedger.Verdict> verdicts) {
		List<WorkLedger.Verdict> complete = new ArrayList<>();
		for (WorkLedger.Verdict verdict : verdicts) {
			if (verdict.crashMark() || !verdict.outcome().getCustomId().isEmpty()) {
				complete.add(verdict);
			}
			else {
				resolve(verdict);
			}
		}
		append(complete);
	}

	private void resolve(WorkLedger.Verdict verdict) {
		long offset = verdict.job().getOffset(verdict.outcome().getIndex());
		this.context.cache()
			.get(this.context.stream(), offset)
			.emitOn(this.context.lane())
			.subscribe()
			.with((found) -> {
				String customId = ItemRecords.findItem(found, verdict.job().getId(), verdict.outcome().getIndex())
					.map(BatchItem::getCustomId)
					.orElse("");
				append(List.of(new WorkLedger.Verdict(verdict.job(),
						verdict.outcome().toBuilder().setCustomId(customId).build(), false)));
			}, (failure) -> this.context.lane().execute(() -> {
				if (isExpired(failure)) {
					append(List.of(verdict));
				}
				else if (isActive()) {
					this.context.lane().schedule(RETRY_DELAY, () -> resolve(verdict));
				}
			}));
	}

	private void append(List<WorkLedger.Verdict> verdicts) {
		Map<String, ItemIntents.Builder> crashes = new LinkedHashMap<>();
		Map<String, ItemOutcomes.Builder> outcomes = new LinkedHashMap<>();
		Map<String, Integer> sizes = new HashMap<>();
		for (WorkLedger.Verdict verdict : verdicts) {
			String id = verdict.job().getId();
			if (verdict.crashMark()) {
				crashes.computeIfAbsent(id, (key) -> ItemIntents.newBuilder().setBatchId(key).setTerm(this.term))
					.setCrashed(true)
					.addIndexes(verdict.outcome().getIndex());
				continue;
			}
			tell(verdict);
			int size = sizes.merge(id, verdict.outcome().getSerializedSize(), Integer::sum);
			outcomes.computeIfAbsent(id, (key) -> ItemOutcomes.newBuilder().setBatchId(key).setTerm(this.term))
				.addOutcomes(verdict.outcome());
			if (size >= OUTCOME_BYTES_PER_ENTRY) {
				appendOutcomes(outcomes.remove(id));
				sizes.remove(id);
			}
		}
		crashes.values()
			.forEach((marks) -> appendEntry(LogEntry.newBuilder().setItemIntents(marks).build(),
					marks.getIndexesCount()));
		outcomes.values().forEach(this::appendOutcomes);
	}

	private void appendOutcomes(ItemOutcomes.Builder outcomes) {
		appendEntry(LogEntry.newBuilder().setItemOutcomes(outcomes).build(), outcomes.getOutcomesCount());
	}

	private void appendEntry(LogEntry entry, int count) {
		this.buffered += count;
		this.writer.append(List.of(entry), false, null, this.active).subscribe().with((offset) -> {
			this.buffered -= count;
			this.follower.catchUp().subscribe().with((ignored) -> {
			}, (failure) -> {
				// The periodic read of the stream tries again.
			});
		}, (failure) -> this.buffered -= count);
	}

	private void tell(WorkLedger.Verdict verdict) {
		ItemOutcome outcome = verdict.outcome();
		String subject = verdict.job().getId() + "/" + outcome.getIndex();
		Map<String, String> figures = Map.of("code", outcome.getErrorCode(), "attempts",
				Integer.toString(outcome.getAttempts()));
		if (outcome.getStatus() == OutcomeStatus.FAILED) {
			if (outcome.getErrorCode().equals(ErrorCode.QUARANTINED.getCode())) {
				LOG.log(BatchEvent.ITEM_QUARANTINED, verdict.job().getId(), outcome.getIndex());
			}
			this.context.account().record(AccountCode.FAILED, "item", subject, null, figures);
		}
		else if (outcome.getStatus() == OutcomeStatus.UNKNOWN) {
			this.context.account().record(AccountCode.OUTCOME_UNKNOWN, "item", subject, null, figures);
		}
	}

	private Uni<Map<Grant, BatchItem>> load(List<Grant> selected) {
		Map<Long, Uni<Loaded>> reads = new LinkedHashMap<>();
		for (Grant grant : selected) {
			reads.computeIfAbsent(grant.getJob().getOffset(grant.getIndex()),
					(offset) -> this.context.cache()
						.get(this.context.stream(), offset)
						.map((found) -> new Loaded(offset, found, null))
						.onFailure()
						.recoverWithItem((failure) -> new Loaded(offset, null, failure)));
		}
		return Uni.join()
			.all(List.copyOf(reads.values()))
			.andCollectFailures()
			.emitOn(this.context.lane())
			.map((all) -> match(selected, all));
	}

	private Map<Grant, BatchItem> match(List<Grant> selected, List<Loaded> all) {
		Map<Long, Loaded> byOffset = new HashMap<>();
		all.forEach((loaded) -> byOffset.put(loaded.offset, loaded));
		Map<Grant, BatchItem> items = new LinkedHashMap<>();
		for (Grant grant : selected) {
			long offset = grant.getJob().getOffset(grant.getIndex());
			Loaded loaded = byOffset.get(offset);
			BatchItem item = (loaded != null && loaded.found != null)
					? ItemRecords.findItem(loaded.found, grant.getJob().getId(), grant.getIndex()).orElse(null) : null;
			if (item != null && isActive() && ItemState.isOpen(grant.getJob().getState(grant.getIndex()))) {
				grant.setCustomId(item.getCustomId());
				items.put(grant, item);
			}
			else if (loaded != null && isExpired(loaded.failure)) {
				expire(grant, offset);
			}
			else {
				this.ledger.putBack(grant);
			}
		}
		return items;
	}

	private void expire(Grant grant, long offset) {
		LOG.log(BatchEvent.RECORD_EXPIRED, this.context.partition(), offset);
		WorkOutcome lost = WorkOutcome.newBuilder()
			.setBatchId(grant.getJob().getId())
			.setIndex(grant.getIndex())
			.setGrantId(grant.getId())
			.setStatus(WorkStatus.WORK_FAILED)
			.setErrorCode(ErrorCode.OFFSET_EXPIRED.getCode())
			.setErrorMessage("the body of the item is no longer retained by the log")
			.build();
		report(List.of(lost), WorkAck.newBuilder());
	}

	private Uni<List<Grant>> intend(List<Grant> grants) {
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
			.emitOn(this.context.lane())
			.map((read) -> grants.stream().filter(this::isIntended).toList())
			.onFailure()
			.recoverWithItem(List.of())
			.emitOn(this.context.lane())
			.invoke((allowed) -> grants.stream().filter((g) -> !allowed.contains(g)).forEach(this.ledger::putBack));
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
	 * @param offset its offset
	 * @param found the record, or null
	 * @param failure the failure, or null
	 */
	private record Loaded(long offset, LogRecord found, Throwable failure) {
	}

}
