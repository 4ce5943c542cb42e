package org.wigeonglade.core.batch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Finds items inside records.
 */
public final class ItemRecords {

	private ItemRecords() {
	}

	/**
	 * Finds the body of an item in the record that holds it.
	 * @param found the record
	 * @param batchId the job
	 * @param index the item
	 * @return the item, empty if the record does not hold it
	 */
	public static Optional<BatchItem> findItem(LogRecord found, String batchId, int index) {
		for (LogEntry entry : found.getEntriesList()) {
			if (!entry.hasItemChunk() || !entry.getItemChunk().getBatchId().equals(batchId)) {
				continue;
			}
			int count = entry.getItemChunk().getItemsCount();
			int guess = (count > 0) ? index - entry.getItemChunk().getItems(0).getIndex() : 0;
			if (guess >= 0 && guess < count && entry.getItemChunk().getItems(guess).getIndex() == index) {
				return Optional.of(entry.getItemChunk().getItems(guess));
			}
			for (BatchItem item : entry.getItemChunk().getItemsList()) {
				if (item.getIndex() == index) {
					return Optional.of(item);
				}
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the outcomes in a record that the replay of a job took. One record may hold
	 * a second outcome of an item, or one of an older term; both are void.
	 * @param job the job
	 * @param offset the offset of the record
	 * @param found the record
	 * @return the outcomes whose item refers to this record, one an item
	 */
	public static List<ItemOutcome> currentOutcomes(JobState job, long offset, LogRecord found) {
		long term = found.getEntriesList()
			.stream()
			.filter(LogEntry::hasItemOutcomes)
			.mapToLong((entry) -> entry.getItemOutcomes().getTerm())
			.max()
			.orElse(0);
		Map<Integer, ItemOutcome> current = new LinkedHashMap<>();
		for (LogEntry entry : found.getEntriesList()) {
			if (!entry.hasItemOutcomes() || entry.getItemOutcomes().getTerm() != term
					|| !entry.getItemOutcomes().getBatchId().equals(job.getId())) {
				continue;
			}
			for (ItemOutcome outcome : entry.getItemOutcomes().getOutcomesList()) {
				int index = outcome.getIndex();
				if (index >= 0 && index < job.size() && job.getOffset(index) == offset
						&& job.getState(index) == ItemState.fromOutcome(outcome.getStatus())) {
					current.putIfAbsent(index, outcome);
				}
			}
		}
		return List.copyOf(current.values());
	}

}
