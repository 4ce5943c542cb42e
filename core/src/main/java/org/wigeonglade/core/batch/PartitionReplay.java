package org.wigeonglade.core.batch;

import java.util.function.Consumer;

import org.wigeonglade.schema.generated.log.ExpiredKey;
import org.wigeonglade.schema.generated.log.ItemChunk;
import org.wigeonglade.schema.generated.log.ItemIntents;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.ItemOutcomes;
import org.wigeonglade.schema.generated.log.JobAccepted;
import org.wigeonglade.schema.generated.log.JobCancelled;
import org.wigeonglade.schema.generated.log.KeyedIntent;
import org.wigeonglade.schema.generated.log.KeyedOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.log.PartitionClaim;
import org.wigeonglade.schema.generated.log.PartitionRelease;
import org.wigeonglade.schema.generated.log.StateExpired;

/**
 * Deterministic replay of the records of a partition stream. The result depends only on
 * the records and their order, so all hosts reach the same state.
 */
public final class PartitionReplay {

	/**
	 * Time after the last chunk of an unfinished upload at which its chunks are dropped,
	 * by the clocks of the log writers. The idle limit of an upload is far shorter.
	 */
	private static final long STAGED_LIFETIME_MILLIS = 3_600_000L;

	private static final String STALE_TERM = "its term is not the current term";

	private static final String JOB_NOT_FOUND = "the job was not accepted or has expired";

	private PartitionReplay() {
	}

	/**
	 * Applies one record.
	 * @param state the state, changed in place
	 * @param offset the offset of the record; records up to the applied offset are
	 * skipped
	 * @param entry the record
	 * @param observer receives the changes
	 */
	public static void apply(PartitionState state, long offset, LogRecord entry, ReplayObserver observer) {
		if (offset <= state.getAppliedOffset()) {
			return;
		}
		state.setAppliedOffset(offset);
		observer.recordSeen(offset, entry);
		if (!state.advanceWriter(entry.getHost(), entry.getIncarnation(), entry.getSequence())) {
			observer.entryIgnored(offset, "record", "its sequence number is not above the last one of its writer");
			return;
		}
		EntryApplier applier = new EntryApplier(state, offset, entry.getWallTimeMs(), observer);
		for (LogEntry logEntry : entry.getEntriesList()) {
			applier.apply(logEntry);
		}
	}

	/**
	 * Applies the entries of one record.
	 *
	 * @param state the state, changed in place
	 * @param offset the offset of the record
	 * @param wallMillis the time of the record by the clock of its writer
	 * @param observer receives the changes
	 */
	private record EntryApplier(PartitionState state, long offset, long wallMillis, ReplayObserver observer) {

		void apply(LogEntry entry) {
			switch (entry.getKindCase()) {
				case PARTITION_CLAIM -> claim(entry.getPartitionClaim());
				case PARTITION_RELEASE -> release(entry.getPartitionRelease());
				case ITEM_CHUNK -> stageChunk(entry.getItemChunk());
				case JOB_ACCEPTED -> accept(entry.getJobAccepted());
				case ITEM_OUTCOMES -> outcomes(entry.getItemOutcomes());
				case JOB_CANCELLED -> cancel(entry.getJobCancelled());
				case ITEM_INTENTS -> intents(entry.getItemIntents());
				case KEYED_INTENT -> keyedIntent(entry.getKeyedIntent());
				case KEYED_OUTCOME -> keyedOutcome(entry.getKeyedOutcome());
				case STATE_EXPIRED -> expire(entry.getStateExpired());
				case SNAPSHOT_BEGIN -> {
					dropExpiredUploads();
					this.state.openSnapshot(entry.getSnapshotBegin().getSnapshotId(),
							entry.getSnapshotBegin().getCoversOffset());
				}
				case SNAPSHOT_END -> this.state.closeSnapshot(entry.getSnapshotEnd().getSnapshotId());
				default -> {
					// Unknown entries of newer versions, and snapshot entries other than
					// begin and end.
				}
			}
		}

		private void claim(PartitionClaim claim) {
			dropExpiredUploads();
			long current = this.state.getTerm();
			if (current != PartitionState.TERM_UNKNOWN && claim.getTerm() != current + 1) {
				ignore("claim", "its term does not follow the current term");
				return;
			}
			this.state.setOwner(claim.getTerm(), claim.getHost(), claim.getIncarnation(), false);
			this.observer.ownerChanged();
		}

		private void release(PartitionRelease release) {
			if (acceptsTerm(release.getTerm()) && release.getHost().equals(this.state.getOwnerHost())) {
				this.state.setOwner(this.state.getTerm(), this.state.getOwnerHost(), this.state.getOwnerIncarnation(),
						true);
				this.observer.ownerChanged();
			}
			else {
				ignore("release", STALE_TERM);
			}
		}

		private void stageChunk(ItemChunk chunk) {
			JobState job = this.state.jobs().get(chunk.getBatchId());
			if (chunk.getCarried()) {
				applyToJob("carried chunk", chunk.getBatchId(), chunk.getTerm(), (found) -> chunk.getItemsList()
					.forEach((item) -> found.updateBodyOffset(item.getIndex(), this.offset)));
			}
			else if (job == null) {
				StagedJob staged = this.state.staged().computeIfAbsent(chunk.getBatchId(), (id) -> new StagedJob());
				chunk.getItemsList().forEach((item) -> staged.put(item.getIndex(), this.offset, this.wallMillis));
			}
		}

		private void accept(JobAccepted accepted) {
			if (this.state.jobs().containsKey(accepted.getBatchId())) {
				return;
			}
			StagedJob staged = this.state.staged().remove(accepted.getBatchId());
			String key = PartitionState.keyOf(accepted.getWorkspace(), accepted.getIdempotencyKey());
			boolean keyed = !accepted.getIdempotencyKey().isEmpty();
			if (keyed && this.state.keys().containsKey(key)) {
				ignore("acceptance", "the key was already used");
				return;
			}
			if (staged == null || !staged.isComplete(accepted.getItemCount())) {
				ignore("acceptance", "items are missing");
				return;
			}
			if (keyed) {
				this.state.keys().put(key, KeyState.ofJob(accepted.getRequestDigest(), accepted.getBatchId()));
			}
			JobState job = new JobState(accepted, this.offset, new byte[accepted.getItemCount()], staged.copyOffsets());
			this.state.jobs().put(job.getId(), job);
			this.observer.jobAccepted(job);
		}

		private void outcomes(ItemOutcomes outcomes) {
			applyToJob("outcomes", outcomes.getBatchId(), outcomes.getTerm(), (job) -> {
				for (ItemOutcome outcome : outcomes.getOutcomesList()) {
					int itemState = ItemState.fromOutcome(outcome.getStatus());
					if (outcomes.getCarried()) {
						job.updateResultOffset(outcome.getIndex(), itemState, this.offset);
					}
					else if (itemState >= 0
							&& job.finish(outcome.getIndex(), itemState, this.offset, this.wallMillis)) {
						this.observer.itemFinished(job, outcome.getIndex());
					}
					else {
						ignore("outcome", "the item already has an outcome or was cancelled");
					}
				}
			});
		}

		private void cancel(JobCancelled cancelled) {
			JobState job = this.state.jobs().get(cancelled.getBatchId());
			if (job == null) {
				ignore("cancellation", JOB_NOT_FOUND);
			}
			else if (job.cancel(this.offset, this.wallMillis)) {
				this.observer.jobCancelled(job);
			}
		}

		private void intents(ItemIntents intents) {
			applyToJob("intents", intents.getBatchId(), intents.getTerm(), (job) -> {
				for (int index : intents.getIndexesList()) {
					if (!(intents.getCrashed() ? job.addCrash(index) : job.markIntended(index))) {
						ignore("intent", "the state of the item does not allow it");
					}
				}
			});
		}

		private void keyedIntent(KeyedIntent intent) {
			KeyState old = this.state.keys()
				.putIfAbsent(PartitionState.keyOf(intent.getWorkspace(), intent.getIdempotencyKey()),
						KeyState.ofIntent(intent));
			if (old != null && !old.matchesRequest(intent.getRequestId())) {
				ignore("keyed intent", "the key was already used");
			}
		}

		private void keyedOutcome(KeyedOutcome outcome) {
			String key = PartitionState.keyOf(outcome.getWorkspace(), outcome.getIdempotencyKey());
			KeyState old = this.state.keys().get(key);
			if (old == null || !old.matchesRequest(outcome.getRequestId())) {
				ignore("keyed outcome", "the key belongs to another request");
			}
			else if (outcome.getCarried()) {
				if (old.outcome() != null && acceptsTerm(outcome.getTerm())) {
					this.state.keys().put(key, old.withOutcome(outcome, this.offset));
				}
			}
			else if (old.outcome() != null) {
				ignore("keyed outcome", "the request already has an outcome");
			}
			else if (outcome.getStatus() == OutcomeStatus.CANCELLED) {
				this.state.keys().remove(key);
			}
			else {
				this.state.keys().put(key, old.withOutcome(outcome, this.offset));
			}
		}

		private void expire(StateExpired expired) {
			if (!acceptsTerm(expired.getTerm())) {
				ignore("expiry", STALE_TERM);
				return;
			}
			for (String id : expired.getBatchIdsList()) {
				JobState job = this.state.jobs().remove(id);
				if (job != null) {
					this.state.keys()
						.remove(PartitionState.keyOf(job.getAccepted().getWorkspace(),
								job.getAccepted().getIdempotencyKey()));
					this.observer.jobExpired(job);
				}
			}
			for (ExpiredKey key : expired.getKeysList()) {
				this.state.keys().remove(PartitionState.keyOf(key.getWorkspace(), key.getIdempotencyKey()));
			}
		}

		private void applyToJob(String kind, String batchId, long term, Consumer<JobState> action) {
			JobState job = this.state.jobs().get(batchId);
			if (!acceptsTerm(term)) {
				ignore(kind, STALE_TERM);
			}
			else if (job == null) {
				ignore(kind, JOB_NOT_FOUND);
			}
			else {
				action.accept(job);
			}
		}

		// A state of unknown term adopts the first term that it reads.
		private boolean acceptsTerm(long term) {
			if (this.state.getTerm() == PartitionState.TERM_UNKNOWN) {
				this.state.setOwner(term, "", 0, false);
			}
			return term == this.state.getTerm();
		}

		private void dropExpiredUploads() {
			this.state.staged()
				.values()
				.removeIf((staged) -> staged.getLastWallMillis() < this.wallMillis - STAGED_LIFETIME_MILLIS);
		}

		private void ignore(String kind, String reason) {
			this.observer.entryIgnored(this.offset, kind, reason);
		}

	}

}
