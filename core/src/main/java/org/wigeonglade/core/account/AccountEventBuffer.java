package org.wigeonglade.core.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Ring buffer of the latest events of one host. Events that must survive the loss of the
 * host are also passed to a sink. Thread-safe.
 */
public final class AccountEventBuffer implements AccountRecorder {

	/**
	 * Default capacity in events. An event takes about 500 bytes, so the buffer takes
	 * about 8 MB of the 128 MB that a host may use.
	 */
	public static final int DEFAULT_CAPACITY = 16_384;

	/** Largest number of events in a query result, which then takes about 1 MB. */
	public static final int MAX_RESULT_EVENTS = 2000;

	/**
	 * Kinds that are rare and must still be available after the host was lost.
	 */
	private static final Set<AccountCode> DURABLE_CODES = EnumSet.of(AccountCode.QUARANTINED, AccountCode.TAKEN_OVER,
			AccountCode.HANDED_OVER, AccountCode.UPSTREAM_LOST, AccountCode.HOST_LOST, AccountCode.HOST_STOPPING,
			AccountCode.PLATFORM_LOST, AccountCode.PLATFORM_BACK, AccountCode.OUTCOME_UNKNOWN);

	private final Object lock = new Object();

	private final HostId host;

	private final long incarnation;

	private final Ticker ticker;

	private final int capacity;

	private final Deque<AccountRecord> events = new ArrayDeque<>();

	private volatile Consumer<AccountRecord> durableSink = (event) -> {
	};

	private long sequence;

	private long dropped;

	private long droppedUntilWallMillis;

	private AccountEventBuffer(HostId host, long incarnation, Ticker ticker, int capacity) {
		this.host = Objects.requireNonNull(host, "host");
		this.incarnation = incarnation;
		this.ticker = Objects.requireNonNull(ticker, "ticker");
		this.capacity = capacity;
	}

	/**
	 * Creates an empty buffer.
	 * @param host the recording host, not null
	 * @param incarnation the incarnation of the host
	 * @param ticker the source of time, not null
	 * @param capacity the largest number of retained events; below 1 counts as 1
	 * @return a buffer, never null
	 */
	public static AccountEventBuffer create(HostId host, long incarnation, Ticker ticker, int capacity) {
		return new AccountEventBuffer(host, incarnation, ticker, Math.max(1, capacity));
	}

	/**
	 * Sets the sink of durable events. It must neither block nor fail.
	 * @param sink the sink, not null; called on the recording thread
	 */
	public void setDurableSink(Consumer<AccountRecord> sink) {
		this.durableSink = Objects.requireNonNull(sink, "sink");
	}

	@Override
	public String record(AccountCode code, String subjectKind, String subjectId, String causeEventId,
			Map<String, String> figures) {
		AccountRecord.Builder builder = AccountRecord.newBuilder()
			.setCode(code.getNumber())
			.setHost(this.host.value())
			.setSubjectKind(Objects.toString(subjectKind, ""))
			.setSubjectId(Objects.toString(subjectId, ""))
			.setCauseEventId(Objects.toString(causeEventId, ""));
		figures.forEach((key, value) -> builder.putFigures(key, Objects.toString(value, "")));
		AccountRecord event;
		synchronized (this.lock) {
			event = builder.setEventId(this.host.value() + ":" + this.incarnation + ":" + ++this.sequence)
				.setWallTimeMs(this.ticker.wallMillis())
				.build();
			if (this.events.size() == this.capacity) {
				this.droppedUntilWallMillis = this.events.removeFirst().getWallTimeMs();
				this.dropped++;
			}
			this.events.addLast(event);
		}
		if (DURABLE_CODES.contains(code)) {
			this.durableSink.accept(event);
		}
		return event.getEventId();
	}

	/**
	 * Returns the events that a query selects, together with their causes.
	 * @param query the query, not null
	 * @return the latest matching events in order of recording, at most
	 * {@link #MAX_RESULT_EVENTS}, and whether some may be missing
	 */
	public Result find(AccountQuery query) {
		List<AccountRecord> copy;
		long droppedUntil;
		synchronized (this.lock) {
			copy = new ArrayList<>(this.events);
			droppedUntil = (this.dropped > 0) ? this.droppedUntilWallMillis : -1;
		}
		List<AccountRecord> selected = CausalOrder.withCauses(copy, query);
		boolean limited = selected.size() > MAX_RESULT_EVENTS;
		if (limited) {
			selected = selected.subList(selected.size() - MAX_RESULT_EVENTS, selected.size());
		}
		return new Result(List.copyOf(selected), limited || droppedUntil >= query.fromWallMillis());
	}

	/**
	 * Returns the number of events that were dropped because the buffer was full.
	 * @return the count since this host started
	 */
	public long getDropped() {
		synchronized (this.lock) {
			return this.dropped;
		}
	}

	/**
	 * Result of a query.
	 *
	 * @param events the events in order of recording
	 * @param truncated whether matching events may be missing
	 */
	public record Result(List<AccountRecord> events, boolean truncated) {
	}

}
