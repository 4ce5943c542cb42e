package org.wigeonglade.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;

/**
 * In-memory stream for tests that lists a few keys a page, so that records can be
 * appended between the pages of a listing. Thread-safe.
 */
public final class PagedLog implements KeyedLog {

	private final int pageSize;

	private final List<KeyedRecord> records = new ArrayList<>();

	private final TreeMap<String, KeyedRecord> latest = new TreeMap<>();

	private IntConsumer pageListener = (page) -> {
	};

	private int pages;

	private int reads;

	private int failures;

	private long firstOffset;

	private boolean silent;

	public PagedLog(int pageSize) {
		this.pageSize = pageSize;
	}

	/**
	 * Sets a listener that is called with the number of pages read so far, before the
	 * next one.
	 */
	public synchronized void onPage(IntConsumer listener) {
		this.pageListener = listener;
	}

	public synchronized void put(List<KeyedRecord> appended) {
		for (KeyedRecord record : appended) {
			KeyedRecord stored = new KeyedRecord(end(), record.key(), record.value());
			this.records.add(stored);
			if (record.value() != null) {
				this.latest.put(record.key(), stored);
			}
			else {
				this.latest.remove(record.key());
			}
		}
	}

	/**
	 * Forgets the history, so that only listings return the records so far.
	 */
	public synchronized void truncate() {
		this.firstOffset = end();
		this.records.clear();
	}

	/**
	 * Forgets the history before an offset.
	 */
	public synchronized void truncate(long offset) {
		this.records.subList(0, (int) (offset - this.firstOffset)).clear();
		this.firstOffset = offset;
	}

	/**
	 * Lets the next calls fail.
	 */
	public synchronized void fail(int calls) {
		this.failures = calls;
	}

	/**
	 * Sets whether reads stay without a response.
	 */
	public synchronized void setSilent(boolean value) {
		this.silent = value;
	}

	public synchronized int getPages() {
		return this.pages;
	}

	public synchronized int getReads() {
		return this.reads;
	}

	public synchronized long end() {
		return this.firstOffset + this.records.size();
	}

	@Override
	public synchronized Uni<KeyedPage> list(KeyedStream stream, String afterKey) {
		if (isFailing()) {
			return failure();
		}
		this.pageListener.accept(this.pages++);
		List<KeyedRecord> page = ((afterKey != null) ? this.latest.tailMap(afterKey, false) : this.latest).values()
			.stream()
			.limit(this.pageSize + 1L)
			.toList();
		boolean truncated = page.size() > this.pageSize;
		return Uni.createFrom()
			.item(new KeyedPage(truncated ? page.subList(0, this.pageSize) : page, truncated, end()));
	}

	@Override
	public synchronized Uni<KeyedSlice> read(KeyedStream stream, long fromOffset, Duration wait) {
		this.reads++;
		if (this.silent) {
			return Uni.createFrom().completionStage(new CompletableFuture<>());
		}
		if (isFailing()) {
			return failure();
		}
		if (fromOffset < this.firstOffset) {
			return Uni.createFrom().failure(new OffsetExpiredException(this.firstOffset));
		}
		List<KeyedRecord> slice = List
			.copyOf(this.records.subList((int) (fromOffset - this.firstOffset), this.records.size()));
		return Uni.createFrom().item(new KeyedSlice(slice, fromOffset + slice.size(), end()));
	}

	@Override
	public Uni<Long> findEnd(KeyedStream stream, long fromOffset) {
		return read(stream, fromOffset, Duration.ZERO).map(KeyedSlice::end);
	}

	@Override
	public synchronized Uni<Long> append(KeyedStream stream, List<KeyedRecord> appended) {
		long first = end();
		put(appended);
		return Uni.createFrom().item(first);
	}

	@Override
	public Uni<Long> appendAt(KeyedStream stream, List<KeyedRecord> appended, long expectedEnd) {
		return append(stream, appended);
	}

	private boolean isFailing() {
		if (this.failures == 0) {
			return false;
		}
		this.failures--;
		return true;
	}

	private static <T> Uni<T> failure() {
		return Uni.createFrom()
			.failure(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the store is unavailable", null));
	}

}
