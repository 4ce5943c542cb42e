package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.wigeonglade.schema.generated.log.JobAccepted;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.SnapshotBegin;
import org.wigeonglade.schema.generated.log.SnapshotEnd;
import org.wigeonglade.schema.generated.log.SnapshotJob;
import org.wigeonglade.schema.generated.log.SnapshotKeys;

/**
 * Codec between the state of a partition and the log entries of a snapshot. A snapshot
 * depends only on the records up to the offset that it covers, so one that a replaced
 * owner wrote is valid too.
 */
public final class PartitionSnapshot {

	/** Items per entry, which make about 90 KB. */
	private static final int ITEMS_PER_ENTRY = 16_384;

	private static final int KEYS_PER_ENTRY = 500;

	private PartitionSnapshot() {
	}

	/**
	 * Encodes a state as a snapshot.
	 * @param state the state, not null
	 * @param snapshotId the identifier of the snapshot, unique in the stream
	 * @return the entries in the order in which they must be appended
	 */
	public static List<LogEntry> encode(PartitionState state, String snapshotId) {
		List<LogEntry> entries = new ArrayList<>();
		entries.add(LogEntry.newBuilder()
			.setSnapshotBegin(SnapshotBegin.newBuilder()
				.setSnapshotId(snapshotId)
				.setTerm(state.getTerm())
				.setCoversOffset(state.getAppliedOffset())
				.addAllWriters(state.getWriters())
				.setOwnerHost(state.getOwnerHost())
				.setOwnerIncarnation(state.getOwnerIncarnation())
				.setReleased(state.isReleased()))
			.build());
		state.jobs().values().forEach((job) -> addJob(entries, snapshotId, job));
		state.staged().forEach((id, job) -> addStaged(entries, snapshotId, id, job));
		addKeys(entries, snapshotId, List.copyOf(state.keys().values()));
		entries.add(LogEntry.newBuilder()
			.setSnapshotEnd(SnapshotEnd.newBuilder().setSnapshotId(snapshotId).setEntryCount(entries.size() + 1))
			.build());
		return entries;
	}

	/**
	 * Decodes a complete snapshot.
	 * @param entries the entries in order, from the begin entry to the last one before
	 * the end entry
	 * @return the state, never null
	 */
	static PartitionState decode(List<LogEntry> entries) {
		SnapshotBegin begin = entries.get(0).getSnapshotBegin();
		PartitionState state = new PartitionState();
		state.setAppliedOffset(begin.getCoversOffset());
		state.setOwner(begin.getTerm(), begin.getOwnerHost(), begin.getOwnerIncarnation(), begin.getReleased());
		begin.getWritersList().forEach(state::putWriter);
		int i = 1;
		while (i < entries.size()) {
			LogEntry entry = entries.get(i);
			if (entry.hasSnapshotJob()) {
				int parts = countParts(entries, i);
				readJob(state, entries.subList(i, i + parts));
				i += parts;
			}
			else {
				readKeys(state, entry.getSnapshotKeys());
				i++;
			}
		}
		state.openSnapshot(begin.getSnapshotId(), begin.getCoversOffset());
		state.closeSnapshot(begin.getSnapshotId());
		return state;
	}

	private static void addJob(List<LogEntry> entries, String snapshotId, JobState job) {
		for (int from = 0; from < job.size(); from += ITEMS_PER_ENTRY) {
			int to = Math.min(job.size(), from + ITEMS_PER_ENTRY);
			SnapshotJob.Builder part = SnapshotJob.newBuilder()
				.setSnapshotId(snapshotId)
				.setAccepted(job.getAccepted())
				.setAcceptedOffset(job.getAcceptedOffset())
				.setCancelled(job.isCancelled())
				.setCancelledOffset(job.getCancelledOffset())
				.setFinishedWallTimeMs(job.getFinishedWallMillis())
				.setFirstIndex(from)
				.setComplete(to == job.size())
				.setStatuses(ByteString.copyFrom(job.getStatuses(), from, to - from));
			for (int i = from; i < to; i++) {
				part.addOffsets(job.getOffset(i));
			}
			entries.add(LogEntry.newBuilder().setSnapshotJob(part).build());
		}
	}

	private static void addStaged(List<LogEntry> entries, String snapshotId, String id, StagedJob job) {
		long[] offsets = job.copyOffsets();
		SnapshotJob.Builder part = SnapshotJob.newBuilder().setSnapshotId(snapshotId).setStaged(true);
		part.setAccepted(
				JobAccepted.newBuilder().setBatchId(id).setAcceptedWallTimeMs(job.getLastWallMillis()).build());
		Arrays.stream(offsets).forEach(part::addOffsets);
		entries.add(LogEntry.newBuilder().setSnapshotJob(part.setComplete(true)).build());
	}

	private static void addKeys(List<LogEntry> entries, String snapshotId, List<KeyState> keys) {
		SnapshotKeys.Builder part = SnapshotKeys.newBuilder().setSnapshotId(snapshotId);
		for (KeyState key : keys) {
			if (key.intent() == null) {
				continue;
			}
			part.addIntents(key.intent());
			if (key.outcome() != null) {
				part.addOutcomes(key.outcome()).addOutcomeOffsets(key.outcomeOffset());
			}
			if (part.getIntentsCount() == KEYS_PER_ENTRY) {
				entries.add(LogEntry.newBuilder().setSnapshotKeys(part).build());
				part = SnapshotKeys.newBuilder().setSnapshotId(snapshotId);
			}
		}
		if (part.getIntentsCount() > 0) {
			entries.add(LogEntry.newBuilder().setSnapshotKeys(part).build());
		}
	}

	private static int countParts(List<LogEntry> entries, int from) {
		int i = from;
		while (!entries.get(i).getSnapshotJob().getComplete()) {
			i++;
		}
		return i - from + 1;
	}

	private static void readJob(PartitionState state, List<LogEntry> parts) {
		SnapshotJob first = parts.get(0).getSnapshotJob();
		JobAccepted accepted = first.getAccepted();
		if (first.getStaged()) {
			StagedJob staged = new StagedJob();
			for (int i = 0; i < first.getOffsetsCount(); i++) {
				if (first.getOffsets(i) >= 0) {
					staged.put(i, first.getOffsets(i), accepted.getAcceptedWallTimeMs());
				}
			}
			state.staged().put(accepted.getBatchId(), staged);
			return;
		}
		byte[] statuses = new byte[accepted.getItemCount()];
		long[] offsets = new long[accepted.getItemCount()];
		for (LogEntry entry : parts) {
			SnapshotJob part = entry.getSnapshotJob();
			part.getStatuses().copyTo(statuses, part.getFirstIndex());
			for (int i = 0; i < part.getOffsetsCount(); i++) {
				offsets[part.getFirstIndex() + i] = part.getOffsets(i);
			}
		}
		JobState job = new JobState(accepted, first.getAcceptedOffset(), statuses, offsets);
		job.setFinishedWallMillis(first.getFinishedWallTimeMs());
		if (first.getCancelled()) {
			job.markCancelled(first.getCancelledOffset(), first.getFinishedWallTimeMs());
		}
		state.jobs().put(job.getId(), job);
		if (!accepted.getIdempotencyKey().isEmpty()) {
			state.keys()
				.put(PartitionState.keyOf(accepted.getWorkspace(), accepted.getIdempotencyKey()),
						KeyState.ofJob(accepted.getRequestDigest(), accepted.getBatchId()));
		}
	}

	private static void readKeys(PartitionState state, SnapshotKeys part) {
		part.getIntentsList()
			.forEach((intent) -> state.keys()
				.put(PartitionState.keyOf(intent.getWorkspace(), intent.getIdempotencyKey()),
						KeyState.ofIntent(intent)));
		Map<String, KeyState> keys = state.keys();
		for (int i = 0; i < part.getOutcomesCount(); i++) {
			long offset = part.getOutcomeOffsets(i);
			var outcome = part.getOutcomes(i);
			keys.computeIfPresent(PartitionState.keyOf(outcome.getWorkspace(), outcome.getIdempotencyKey()),
					(key, old) -> old.withOutcome(outcome, offset));
		}
	}

}
