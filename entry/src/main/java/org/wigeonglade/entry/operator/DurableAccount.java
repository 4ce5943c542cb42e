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
 * Appends the durable events of the account to the control stream, many in one record.
 * Events wait in memory while the log is unavailable; the oldest are dropped when too
 * many wait. Thread-safe.
 */
public final class DurableAccount implements Consumer<AccountRecord> {

	private static final EventLogger LOG = EventLogger.of(DurableAccount.class);

	private static final StreamName CONTROL = StreamName.of("control");

	/** Other parts of the host number their own records in the same stream. */
	private static final String WRITER_SUFFIX = ".account";

	/** About 400 KB; an outage of the log brings few events of the durable kinds. */
	private static final int MAX_WAITING = 2000;

	private static final int EVENTS_PER_RECORD = 200;

	private final LogService log;

	private final String writer;

	private final long incarnation;

	private final Ticker ticker;

	private final Deque<AccountRecord> waiting = new ArrayDeque<>();

	private LogRecord inFlight;

	private boolean appending;

	private long sequence;

	private long dropped;

	/**
	 * Creates a sink without events.
	 * @param log the log service, not null
	 * @param host the name of this host, not null
	 * @param incarnation the incarnation of this host
	 * @param ticker the clocks, not null
	 */
	public DurableAccount(LogService log, HostId host, long incarnation, Ticker ticker) {
		this.log = Objects.requireNonNull(log, "log");
		this.writer = host.value() + WRITER_SUFFIX;
		this.incarnation = incarnation;
		this.ticker = Objects.requireNonNull(ticker, "ticker");
	}

	@Override
	public synchronized void accept(AccountRecord event) {
		if (this.waiting.size() >= MAX_WAITING) {
			this.waiting.poll();
			this.dropped++;
		}
		this.waiting.add(event);
	}

	/**
	 * Returns the number of events that were dropped before they were durable.
	 * @return at least 0
	 */
	public synchronized long getDropped() {
		return this.dropped;
	}

	/**
	 * Appends what waits unless an append is in progress. To be called at an interval,
	 * which bounds the appends of this host.
	 */
	public void flush() {
		LogRecord record = begin();
		if (record != null) {
			this.log.append(CONTROL, record.toByteArray()).subscribe().with((offset) -> end(true), (failure) -> {
				LOG.log(OperatorEvent.ACCOUNT_APPEND_FAILED, failure, record.getEntriesCount());
				end(false);
			});
		}
	}

	// A record is appended again after a failure with the same sequence number. Readers
	// know events by their id, so a copy after a lost answer changes nothing.
	private synchronized LogRecord begin() {
		if (this.appending) {
			return null;
		}
		if (this.inFlight == null && !this.waiting.isEmpty()) {
			LogRecord.Builder record = LogRecord.newBuilder()
				.setHost(this.writer)
				.setIncarnation(this.incarnation)
				.setSequence(++this.sequence)
				.setWallTimeMs(this.ticker.wallMillis());
			while (!this.waiting.isEmpty() && record.getEntriesCount() < EVENTS_PER_RECORD) {
				record.addEntries(LogEntry.newBuilder().setAccountRecord(this.waiting.poll()));
			}
			this.inFlight = record.build();
		}
		this.appending = this.inFlight != null;
		return this.inFlight;
	}

	private synchronized void end(boolean durable) {
		this.appending = false;
		if (durable) {
			this.inFlight = null;
		}
	}

}
