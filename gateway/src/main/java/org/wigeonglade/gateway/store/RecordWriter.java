package org.wigeonglade.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;

/**
 * Appends records asynchronously with group commit: records are collected for a short
 * time and appended together, with at most one append in flight. After a failure, all of
 * them are retried as long as they are needed. Confined to the event loop.
 */
public final class RecordWriter {

	private static final EventLogger LOG = EventLogger.of(RecordWriter.class);

	/** Time in milliseconds for which records are collected before an append. */
	private static final long GROUP_DELAY_MILLIS = 15;

	/** Delay in milliseconds before a failed append is retried. */
	private static final long RETRY_DELAY_MILLIS = 300;

	/** Maximum size of a group in bytes: half of the size limit of one append call. */
	private static final int MAX_GROUP_BYTES = 1 << 20;

	private final Function<List<KeyedRecord>, Uni<Long>> log;

	private final EventLoop loop;

	private final Ticker ticker;

	private final List<Pending> pending = new ArrayList<>();

	private boolean busy;

	/**
	 * Creates a writer.
	 * @param log appends records to the store, not null
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 */
	public RecordWriter(Function<List<KeyedRecord>, Uni<Long>> log, EventLoop loop, Ticker ticker) {
		this.log = log;
		this.loop = loop;
		this.ticker = ticker;
	}

	/**
	 * Adds a record to be appended.
	 * @param record creates the record for each attempt, or returns null if it is no
	 * longer needed
	 */
	public void add(Supplier<KeyedRecord> record) {
		add(record, () -> {
		});
	}

	/**
	 * Adds a record to be appended.
	 * @param record creates the record for each attempt, or returns null if it is no
	 * longer needed
	 * @param onDurable a callback run on the event loop after the store has acknowledged
	 * the record, not null
	 */
	public void add(Supplier<KeyedRecord> record, Runnable onDurable) {
		this.pending.add(new Pending(record, onDurable));
		schedule(GROUP_DELAY_MILLIS);
	}

	/**
	 * Returns the number of records that the store has not acknowledged yet.
	 * @return the number, including the append in flight
	 */
	public int getPendingCount() {
		return this.pending.size();
	}

	private void schedule(long delayMillis) {
		if (!this.busy) {
			this.busy = true;
			this.loop.schedule(this::append, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void append() {
		try {
			appendGroup();
		}
		catch (RuntimeException | OutOfMemoryError ex) {
			LOG.log(GatewayEvent.RECORDS_APPEND_FAILED, ex, this.pending.size(), FailureText.of(ex));
			this.busy = false;
			schedule(RETRY_DELAY_MILLIS);
		}
	}

	private void appendGroup() {
		List<Pending> group = new ArrayList<>();
		List<KeyedRecord> records = new ArrayList<>();
		List<Pending> obsolete = new ArrayList<>();
		int bytes = 0;
		for (Pending next : this.pending) {
			KeyedRecord record = next.record().get();
			if (record == null) {
				obsolete.add(next);
				continue;
			}
			bytes += (record.value() != null) ? record.value().length : 0;
			if (!group.isEmpty() && bytes > MAX_GROUP_BYTES) {
				break;
			}
			group.add(next);
			records.add(record);
		}
		this.pending.removeAll(obsolete);
		if (group.isEmpty()) {
			this.busy = false;
			return;
		}
		long start = this.ticker.millis();
		this.log.apply(records).subscribe().with((offset) -> this.loop.execute(() -> {
			LOG.log(GatewayEvent.RECORDS_APPENDED, records.size(), offset, this.ticker.millis() - start);
			this.pending.removeAll(group);
			group.forEach((written) -> written.onDurable().run());
			this.busy = false;
			if (!this.pending.isEmpty()) {
				schedule(0);
			}
		}), (failure) -> this.loop.execute(() -> {
			LOG.log(GatewayEvent.RECORDS_APPEND_FAILED, records.size(), FailureText.of(failure));
			this.busy = false;
			schedule(RETRY_DELAY_MILLIS);
		}));
	}

	private record Pending(Supplier<KeyedRecord> record, Runnable onDurable) {

	}

}
