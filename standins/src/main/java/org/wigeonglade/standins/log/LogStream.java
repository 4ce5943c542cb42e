package org.wigeonglade.standins.log;

import java.util.ArrayList;
import java.util.List;

import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;

/**
 * Retained records of one append-only stream. Thread-safe.
 */
final class LogStream {

	private List<Entry> entries = new ArrayList<>();

	private long oldestOffset;

	synchronized long append(byte[] payload, long nanos) {
		this.entries.add(new Entry(payload, nanos));
		return this.oldestOffset + this.entries.size() - 1;
	}

	synchronized LogSlice read(long from, int max) {
		long head = this.oldestOffset + this.entries.size();
		long start = Math.min(head, Math.max(from, this.oldestOffset));
		long end = Math.min(head, start + max);
		List<StoredRecord> records = new ArrayList<>();
		for (long offset = start; offset < end; offset++) {
			records.add(new StoredRecord(offset, this.entries.get((int) (offset - this.oldestOffset)).payload));
		}
		return new LogSlice(records, this.oldestOffset, head);
	}

	synchronized void trim(int retainRecords, long oldestNanos) {
		int removed = Math.max(0, this.entries.size() - retainRecords);
		while (removed < this.entries.size() && this.entries.get(removed).nanos < oldestNanos) {
			removed++;
		}
		trimBefore(this.oldestOffset + removed);
	}

	synchronized void trimBefore(long offset) {
		int removed = (int) Math.max(0, Math.min(this.entries.size(), offset - this.oldestOffset));
		this.entries = new ArrayList<>(this.entries.subList(removed, this.entries.size()));
		this.oldestOffset += removed;
	}

	private record Entry(byte[] payload, long nanos) {
	}

}
