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
 * Finds the bodies and outcomes of items in log records.
 */
public final class ItemRecords {

	private ItemRecords() {
	}

	/**
	 * Finds the item with its body in a record.
	 * @param logRecord the record to search
	 * @param batchId the identifier of the job
	 * @param index the index of the item in its job
	 * @return the item, empty if the record does not contain it
	 */
	public static Optional<BatchItem> findItem(LogRecord logRecord, String batchId, int index) {
		for (LogEntry entry : logRecord.getEntriesList()) {
			if (!entry.hasItemChunk() || !entry.getItemChunk().getBatchId().equals(batchId)) {
				continue;
			}
			int count = entry.getItemChunk().getItemsCount();
			int expectedPosition = (count > 0) ? index - entry.getItemChunk().getItems(0).getIndex() : 0;
			if (expectedPosition >= 0 && expectedPosition < count
					&& entry.getItemChunk().getItems(expectedPosition).getIndex() == index) {
				return Optional.of(entry.getItemChunk().getItems(expectedPosition));
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
	 * Returns the outcomes of a job in a record that took effect on replay. A record may
	 * also contain a second outcome of an item, or outcomes of an older term; replay
	 * ignores both.
	 * @param job the replayed state of the job
	 * @param offset the offset of the record
	 * @param logRecord the record to search
	 * @return the outcomes whose item references this record, at most one per item
	 */
	public static List<ItemOutcome> currentOutcomes(JobState job, long offset, LogRecord logRecord) {
		long term = logRecord.getEntriesList()
			.stream()
			.filter(LogEntry::hasItemOutcomes)
			.mapToLong((entry) -> entry.getItemOutcomes().getTerm())
			.max()
			.orElse(0);
		Map<Integer, ItemOutcome> current = new LinkedHashMap<>();
		for (LogEntry entry : logRecord.getEntriesList()) {
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
