package org.wigeonglade.core.batch;

import java.util.Optional;

import org.wigeonglade.schema.generated.log.BatchItem;
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

}
