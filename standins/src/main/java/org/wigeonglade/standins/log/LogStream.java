package org.wigeonglade.standins.log;

import java.util.ArrayList;
import java.util.List;

import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;

/**
 * Holds the retained records of one stream.
 */
final class LogStream {

	private List<Entry> entries = new ArrayList<>();

	private long oldest;

	synchronized long append(byte[] payload, long nanos) {
		this.entries.add(new Entry(payload, nanos));
		return this.oldest + this.entries.size() - 1;
	}

	synchronized LogSlice read(long from, int max) {
		long head = this.oldest + this.entries.size();
		long start = Math.min(head, Math.max(from, this.oldest));
		long end = Math.min(head, start + max);
		List<StoredRecord> records = new ArrayList<>();
		for (long offset = start; offset < end; offset++) {
			records.add(new StoredRecord(offset, this.entries.get((int) (offset - this.oldest)).payload));
		}
		return new LogSlice(records, this.oldest, head);
	}

	synchronized void trim(int retainRecords, long oldestNanos) {
		int drop = Math.max(0, this.entries.size() - retainRecords);
		while (drop < this.entries.size() && this.entries.get(drop).nanos < oldestNanos) {
			drop++;
		}
		trimBefore(this.oldest + drop);
	}

	synchronized void trimBefore(long offset) {
		int drop = (int) Math.max(0, Math.min(this.entries.size(), offset - this.oldest));
		this.entries = new ArrayList<>(this.entries.subList(drop, this.entries.size()));
		this.oldest += drop;
	}

	private record Entry(byte[] payload, long nanos) {
	}

}
