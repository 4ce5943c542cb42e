package org.wigeonglade.gateway.store;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A consistent listing of a keyed stream, assembled from pages and from the records that
 * were appended while the pages were read. These may be added between the pages too.
 * Pages are not a snapshot: a record that is appended between two pages may replace one
 * that the pages should still have shown. Not thread-safe.
 */
final class StreamListing {

	private final Map<String, KeyedRecord> latest = new HashMap<>();

	private long next = -1;

	private long requiredEnd;

	/**
	 * Adds the next page. Records that were appended after the first page was read are
	 * left to {@link #addSlice}, which has all of them in order.
	 * @param page the page, not null
	 */
	void addPage(KeyedPage page) {
		if (this.next < 0) {
			this.next = page.end();
		}
		this.requiredEnd = Math.max(this.requiredEnd, page.end());
		for (KeyedRecord record : page.records()) {
			this.requiredEnd = Math.max(this.requiredEnd, record.offset() + 1);
			if (record.offset() < this.next) {
				this.latest.put(record.key(), record);
			}
		}
	}

	/**
	 * Adds records that were appended after the first page was read.
	 * @param slice the records from {@link #getNextOffset}, not null
	 */
	void addSlice(KeyedSlice slice) {
		for (KeyedRecord record : slice.records()) {
			if (record.value() != null) {
				this.latest.put(record.key(), record);
			}
			else {
				this.latest.remove(record.key());
			}
		}
		this.next = Math.max(this.next, slice.next());
		// The stream may have been created anew with fewer records.
		if (slice.next() >= slice.end()) {
			this.requiredEnd = this.next;
		}
	}

	/**
	 * Returns whether the listing is consistent.
	 * @return false if records that were appended during the listing have to be added
	 */
	boolean isComplete() {
		return this.next >= this.requiredEnd;
	}

	/**
	 * Returns the offset after the last record that was considered.
	 * @return the offset, negative before the first page
	 */
	long getNextOffset() {
		return this.next;
	}

	/**
	 * Returns the latest record of each key in stream order.
	 * @return the records, never null
	 */
	List<KeyedRecord> toRecords() {
		return this.latest.values().stream().sorted(Comparator.comparingLong(KeyedRecord::offset)).toList();
	}

}
