package org.wigeonglade.entry.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Consumer;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.AccountRecord;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Writer of durable account events to the control stream; up to 200 events share one log
 * record. Events are buffered in memory until they are appended; when the buffer is full,
 * the oldest events are dropped. Thread-safe.
 */
public final class DurableEventWriter implements Consumer<AccountRecord> {

	private static final EventLogger LOG = EventLogger.of(DurableEventWriter.class);

	private static final StreamName CONTROL = StreamName.of("control");

	/**
	 * Keeps the sequence numbers of this writer apart from those of the other components
	 * of the host that append to the same stream.
	 */
	private static final String WRITER_SUFFIX = ".account";

	/**
	 * Capacity of the buffer, about 400 KB. Few durable events are recorded during an
	 * outage of the log.
	 */
	private static final int MAX_PENDING = 2000;

	private static final int EVENTS_PER_RECORD = 200;

	private final LogService log;

	private final String writer;

	private final long incarnation;

	private final Ticker ticker;

	private final Deque<AccountRecord> pending = new ArrayDeque<>();

	private LogRecord inFlight;

	private boolean appending;

	private long sequence;

	private long droppedCount;

	/**
	 * Creates a writer with an empty buffer.
	 * @param log the log service, not null
	 * @param host the id of this host, not null
	 * @param incarnation the incarnation of this host
	 * @param ticker the clock that timestamps the records, not null
	 */
	public DurableEventWriter(LogService log, HostId host, long incarnation, Ticker ticker) {
		this.log = Objects.requireNonNull(log, "log");
		this.writer = host.value() + WRITER_SUFFIX;
		this.incarnation = incarnation;
		this.ticker = Objects.requireNonNull(ticker, "ticker");
	}

	@Override
	public synchronized void accept(AccountRecord event) {
		if (this.pending.size() >= MAX_PENDING) {
			this.pending.poll();
			this.droppedCount++;
		}
		this.pending.add(event);
	}

	/**
	 * Returns the number of events that were dropped because the buffer was full.
	 * @return the count since the start, at least 0
	 */
	public synchronized long getDroppedCount() {
		return this.droppedCount;
	}

	/**
	 * Appends up to 200 buffered events as one record unless an append is in progress.
	 * Must be called periodically; the period limits the append rate of this host.
	 */
	public void flush() {
		LogRecord record = beginAppend();
		if (record != null) {
			this.log.append(CONTROL, record.toByteArray()).subscribe().with((offset) -> endAppend(true), (failure) -> {
				LOG.log(OperatorEvent.ACCOUNT_APPEND_FAILED, failure, record.getEntriesCount());
				endAppend(false);
			});
		}
	}

	// After a failure the same record is appended again with its sequence number. If the
	// first append took effect, readers drop the copies by event id.
	private synchronized LogRecord beginAppend() {
		if (this.appending) {
			return null;
		}
		if (this.inFlight == null && !this.pending.isEmpty()) {
			LogRecord.Builder record = LogRecord.newBuilder()
				.setHost(this.writer)
				.setIncarnation(this.incarnation)
				.setSequence(++this.sequence)
				.setWallTimeMs(this.ticker.wallMillis());
			while (!this.pending.isEmpty() && record.getEntriesCount() < EVENTS_PER_RECORD) {
				record.addEntries(LogEntry.newBuilder().setAccountRecord(this.pending.poll()));
			}
			this.inFlight = record.build();
		}
		this.appending = this.inFlight != null;
		return this.inFlight;
	}

	private synchronized void endAppend(boolean durable) {
		this.appending = false;
		if (durable) {
			this.inFlight = null;
		}
	}

}
