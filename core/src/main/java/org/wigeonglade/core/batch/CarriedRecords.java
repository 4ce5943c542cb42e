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
 * Finds what must be appended again before its record expires. Pure.
 */
final class CarriedRecords {

	private CarriedRecords() {
	}

	// Returns the lowest offsets below a bound that the state still refers to.
	static List<Long> findOffsets(PartitionState state, long below, int max, Set<Long> lost) {
		TreeSet<Long> offsets = new TreeSet<>();
		for (JobState job : state.getJobs()) {
			for (int i = 0; i < job.size(); i++) {
				add(offsets, job.getOffset(i), below, max, lost);
			}
		}
		state.keys()
			.values()
			.stream()
			.filter((key) -> key.outcome() != null)
			.forEach((key) -> add(offsets, key.outcomeOffset(), below, max, lost));
		return List.copyOf(offsets);
	}

	// Returns the entries that replace the parts of a record that are still needed.
	static List<LogEntry> carry(PartitionState state, long offset, LogRecord found) {
		List<LogEntry> entries = new ArrayList<>();
		Set<JobState> jobs = new LinkedHashSet<>();
		for (LogEntry entry : found.getEntriesList()) {
			switch (entry.getKindCase()) {
				case ITEM_CHUNK -> carryChunk(state, offset, entry.getItemChunk()).ifPresent(entries::add);
				case ITEM_OUTCOMES -> state.findJob(entry.getItemOutcomes().getBatchId()).ifPresent(jobs::add);
				case KEYED_OUTCOME -> carryKeyed(state, offset, entry.getKeyedOutcome()).ifPresent(entries::add);
				default -> {
					// Everything else is in the snapshot.
				}
			}
		}
		jobs.forEach((job) -> carryOutcomes(state, offset, job, found).ifPresent(entries::add));
		return entries;
	}

	private static void add(TreeSet<Long> offsets, long offset, long below, int max, Set<Long> lost) {
		if (offset >= 0 && offset < below && (offsets.size() < max || offset < offsets.last())
				&& (lost.isEmpty() || !lost.contains(offset))) {
			offsets.add(offset);
			if (offsets.size() > max) {
				offsets.pollLast();
			}
		}
	}

	private static Optional<LogEntry> carryChunk(PartitionState state, long offset, ItemChunk chunk) {
		JobState job = state.jobs().get(chunk.getBatchId());
		if (job == null) {
			return Optional.empty();
		}
		ItemChunk.Builder carried = ItemChunk.newBuilder()
			.setBatchId(chunk.getBatchId())
			.setCarried(true)
			.setTerm(state.getTerm());
		for (BatchItem item : chunk.getItemsList()) {
			int itemState = (item.getIndex() < job.size()) ? job.getState(item.getIndex()) : -1;
			if (itemState < 0 || job.getOffset(item.getIndex()) != offset) {
				continue;
			}
			if (ItemState.isOpen(itemState)) {
				carried.addItems(item);
			}
			else if (itemState == ItemState.CANCELLED) {
				carried.addItems(item.toBuilder().setBody(ByteString.EMPTY));
			}
		}
		return (carried.getItemsCount() > 0) ? Optional.of(LogEntry.newBuilder().setItemChunk(carried).build())
				: Optional.empty();
	}

	private static Optional<LogEntry> carryOutcomes(PartitionState state, long offset, JobState job, LogRecord found) {
		List<ItemOutcome> outcomes = ItemRecords.currentOutcomes(job, offset, found);
		return outcomes.isEmpty() ? Optional.empty()
				: Optional.of(LogEntry.newBuilder()
					.setItemOutcomes(ItemOutcomes.newBuilder()
						.setBatchId(job.getId())
						.setCarried(true)
						.setTerm(state.getTerm())
						.addAllOutcomes(outcomes))
					.build());
	}

	private static Optional<LogEntry> carryKeyed(PartitionState state, long offset, KeyedOutcome outcome) {
		return state.findKey(outcome.getWorkspace(), outcome.getIdempotencyKey())
			.filter((key) -> key.outcome() != null && key.outcomeOffset() == offset
					&& key.isRequest(outcome.getRequestId()))
			.map((key) -> LogEntry.newBuilder()
				.setKeyedOutcome(outcome.toBuilder().setCarried(true).setTerm(state.getTerm()))
				.build());
	}

}
