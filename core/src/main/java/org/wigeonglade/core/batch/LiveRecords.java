package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemChunk;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.ItemOutcomes;
import org.wigeonglade.schema.generated.log.KeyedOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Finds the records that a partition state still references and builds the entries that
 * append them again before they expire. The copies have the flag {@code carried}, so that
 * a replay only updates offsets. Stateless.
 */
final class LiveRecords {

	private LiveRecords() {
	}

	// Returns the lowest offsets below a bound that the state references, without those
	// that have expired already.
	static List<Long> findOffsets(PartitionState state, long limit, int max, Set<Long> expired) {
		TreeSet<Long> offsets = new TreeSet<>();
		for (JobState job : state.getJobs()) {
			for (int i = 0; i < job.size(); i++) {
				addOffset(offsets, job.getOffset(i), limit, max, expired);
			}
		}
		state.keys()
			.values()
			.stream()
			.filter((key) -> key.outcome() != null)
			.forEach((key) -> addOffset(offsets, key.outcomeOffset(), limit, max, expired));
		return List.copyOf(offsets);
	}

	// Returns copies of those parts of a record that the state still references.
	static List<LogEntry> copyEntries(PartitionState state, long offset, LogRecord original) {
		List<LogEntry> entries = new ArrayList<>();
		Set<JobState> jobs = new LinkedHashSet<>();
		for (LogEntry entry : original.getEntriesList()) {
			switch (entry.getKindCase()) {
				case ITEM_CHUNK -> copyChunk(state, offset, entry.getItemChunk()).ifPresent(entries::add);
				case ITEM_OUTCOMES -> state.findJob(entry.getItemOutcomes().getBatchId()).ifPresent(jobs::add);
				case KEYED_OUTCOME -> copyKeyedOutcome(state, offset, entry.getKeyedOutcome()).ifPresent(entries::add);
				default -> {
					// All other state is part of the snapshot.
				}
			}
		}
		jobs.forEach((job) -> copyOutcomes(state, offset, job, original).ifPresent(entries::add));
		return entries;
	}

	private static void addOffset(TreeSet<Long> offsets, long offset, long limit, int max, Set<Long> expired) {
		if (offset >= 0 && offset < limit && (offsets.size() < max || offset < offsets.last())
				&& (expired.isEmpty() || !expired.contains(offset))) {
			offsets.add(offset);
			if (offsets.size() > max) {
				offsets.pollLast();
			}
		}
	}

	private static Optional<LogEntry> copyChunk(PartitionState state, long offset, ItemChunk chunk) {
		JobState job = state.jobs().get(chunk.getBatchId());
		if (job == null) {
			return Optional.empty();
		}
		ItemChunk.Builder copy = ItemChunk.newBuilder()
			.setBatchId(chunk.getBatchId())
			.setCarried(true)
			.setTerm(state.getTerm());
		for (BatchItem item : chunk.getItemsList()) {
			int itemState = (item.getIndex() < job.size()) ? job.getState(item.getIndex()) : -1;
			if (itemState < 0 || job.getOffset(item.getIndex()) != offset) {
				continue;
			}
			if (ItemState.isOpen(itemState)) {
				copy.addItems(item);
			}
			else if (itemState == ItemState.CANCELLED) {
				copy.addItems(item.toBuilder().setBody(ByteString.EMPTY));
			}
		}
		return (copy.getItemsCount() > 0) ? Optional.of(LogEntry.newBuilder().setItemChunk(copy).build())
				: Optional.empty();
	}

	private static Optional<LogEntry> copyOutcomes(PartitionState state, long offset, JobState job,
			LogRecord original) {
		List<ItemOutcome> outcomes = ItemRecords.currentOutcomes(job, offset, original);
		return outcomes.isEmpty() ? Optional.empty()
				: Optional.of(LogEntry.newBuilder()
					.setItemOutcomes(ItemOutcomes.newBuilder()
						.setBatchId(job.getId())
						.setCarried(true)
						.setTerm(state.getTerm())
						.addAllOutcomes(outcomes))
					.build());
	}

	private static Optional<LogEntry> copyKeyedOutcome(PartitionState state, long offset, KeyedOutcome outcome) {
		return state.findKey(outcome.getWorkspace(), outcome.getIdempotencyKey())
			.filter((key) -> key.outcome() != null && key.outcomeOffset() == offset
					&& key.matchesRequest(outcome.getRequestId()))
			.map((key) -> LogEntry.newBuilder()
				.setKeyedOutcome(outcome.toBuilder().setCarried(true).setTerm(state.getTerm()))
				.build());
	}

}
