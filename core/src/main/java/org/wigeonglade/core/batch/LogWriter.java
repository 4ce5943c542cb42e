package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Appends entries of one host to one stream by group commit. Keeps one append in flight;
 * after an answer was lost it reads the stream for its own record before it appends
 * anything else. Confined to its lane, but {@link #append} may be called by any thread.
 */
public final class LogWriter {

	/** An interactive entry waits at most this long for others. */
	private static final long INTERACTIVE_DELAY_MILLIS = 2;

	/** Leaves room for the subtraction of any clock value. */
	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	private final StreamName stream;

	private final WriterIdentity identity;

	private final LogService log;

	private final Lane lane;

	private final Ticker ticker;

	private final AppendPacer pacer;

	private final WriterOptions options;

	private final RandomGenerator random;

	private final LongSupplier knownOffset;

	private final Deque<PendingAppend> interactive = new ArrayDeque<>();

	private final Deque<PendingAppend> bulk = new ArrayDeque<>();

	private Flight flight;

	private int queuedBytes;

	private long sequence;

	private long lastOwnOffset = -1;

	private int failures;

	private long notBeforeMillis = LONG_AGO;

	private Cancellable timer;

	private boolean closed;

	private volatile long appends;

	/**
	 * Creates a writer.
	 * @param stream the stream
	 * @param identity the writer; no other writer of the stream may have it
	 * @param log the log
	 * @param lane runs everything
	 * @param ticker the time
	 * @param pacer the append budget of this host
	 * @param options the settings
	 * @param random the jitter of retries
	 * @param knownOffset the last offset that was read from the stream, -1 if none
	 */
	public LogWriter(StreamName stream, WriterIdentity identity, LogService log, Lane lane, Ticker ticker,
			AppendPacer pacer, WriterOptions options, RandomGenerator random, LongSupplier knownOffset) {
		this.stream = stream;
		this.identity = identity;
		this.log = log;
		this.lane = lane;
		this.ticker = ticker;
		this.pacer = pacer;
		this.options = options;
		this.random = random;
		this.knownOffset = knownOffset;
	}

	/**
	 * Appends entries in one record.
	 * @param entries the entries, at most a record
	 * @param urgent whether a person waits for it
	 * @param timeout the time until the result is reported as a failure, or null for no
	 * limit
	 * @param wanted asked before each attempt; entries that are not wanted any more fail
	 * @return the offset of the record, also if it was found by reading back; fails with
	 * {@link PlatformException} that tells whether the entries may have been appended
	 */
	public Uni<Long> append(List<LogEntry> entries, boolean urgent, Duration timeout, BooleanSupplier wanted) {
		PendingAppend pending = new PendingAppend(entries, urgent, wanted, this.ticker.millis());
		this.lane.execute(() -> enqueue(pending, timeout));
		return Uni.createFrom().completionStage(pending.getFuture());
	}

	/**
	 * Returns the number of append calls made so far.
	 * @return at least 0
	 */
	public long getAppends() {
		return this.appends;
	}

	/**
	 * Returns whether the last exchange with the log failed.
	 * @return true during an outage
	 */
	public boolean isFailing() {
		return this.failures > 0;
	}

	/**
	 * Stops without any further append; what waits fails.
	 */
	public void close() {
		this.lane.execute(() -> {
			this.closed = true;
			cancelTimer();
			List<PendingAppend> rest = new ArrayList<>(this.interactive);
			rest.addAll(this.bulk);
			rest.forEach((p) -> p.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null));
			this.interactive.clear();
			this.bulk.clear();
			if (this.flight != null) {
				this.flight.parts
					.forEach((p) -> p.fail(ErrorCode.PLATFORM_UNKNOWN, "the host stopped during the append", null));
			}
		});
	}

	private void enqueue(PendingAppend pending, Duration timeout) {
		if (this.closed) {
			pending.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null);
			return;
		}
		if (timeout != null) {
			pending.setTimer(this.lane.schedule(timeout, () -> expire(pending)));
		}
		(pending.isInteractive() ? this.interactive : this.bulk).add(pending);
		this.queuedBytes += pending.getBytes();
		flush();
	}

	private void expire(PendingAppend pending) {
		if (this.interactive.remove(pending) || this.bulk.remove(pending)) {
			this.queuedBytes -= pending.getBytes();
			pending.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the log did not take the record in time", null);
		}
		else {
			pending.fail(ErrorCode.PLATFORM_UNKNOWN, "the log did not confirm the record in time", null);
		}
	}

	private void flush() {
		if (this.flight != null || this.closed) {
			return;
		}
		if (this.interactive.isEmpty() && this.bulk.isEmpty()) {
			return;
		}
		long now = this.ticker.millis();
		long wait = Math.max(dueMillis(), this.notBeforeMillis) - now;
		if (wait <= 0) {
			dropUnwanted(this.interactive);
			dropUnwanted(this.bulk);
			if (this.interactive.isEmpty() && this.bulk.isEmpty()) {
				return;
			}
			wait = this.pacer.tryTake(now);
		}
		if (wait > 0) {
			wakeAfter(wait, this::flush);
			return;
		}
		send(nextFlight());
	}

	private long dueMillis() {
		if (this.queuedBytes >= this.options.maxRecordBytes()) {
			return LONG_AGO;
		}
		long delay = this.options.groupDelay().toMillis();
		long due = this.bulk.isEmpty() ? Long.MAX_VALUE : this.bulk.peek().getQueuedMillis() + delay;
		if (!this.interactive.isEmpty()) {
			due = Math.min(due, this.interactive.peek().getQueuedMillis() + Math.min(delay, INTERACTIVE_DELAY_MILLIS));
		}
		return due;
	}

	private void dropUnwanted(Deque<PendingAppend> queue) {
		queue.removeIf((pending) -> {
			if (pending.isWanted()) {
				return false;
			}
			this.queuedBytes -= pending.getBytes();
			pending.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the record is not wanted any more", null);
			return true;
		});
	}

	private Flight nextFlight() {
		List<PendingAppend> parts = new ArrayList<>();
		int bytes = 0;
		for (Deque<PendingAppend> queue : List.of(this.interactive, this.bulk)) {
			while (!queue.isEmpty()
					&& (parts.isEmpty() || bytes + queue.peek().getBytes() <= this.options.maxRecordBytes())) {
				PendingAppend part = queue.poll();
				bytes += part.getBytes();
				parts.add(part);
				this.queuedBytes -= part.getBytes();
			}
		}
		LogRecord.Builder builder = LogRecord.newBuilder()
			.setHost(this.identity.host())
			.setIncarnation(this.identity.incarnation())
			.setSequence(++this.sequence)
			.setWallTimeMs(this.ticker.wallMillis());
		parts.forEach((part) -> builder.addAllEntries(part.getEntries()));
		long readFrom = Math.max(this.lastOwnOffset, this.knownOffset.getAsLong()) + 1;
		return new Flight(parts, builder.build().toByteArray(), this.sequence, readFrom);
	}

	private void send(Flight next) {
		this.flight = next;
		int attempt = ++next.attempt;
		this.appends++;
		Cancellable guard = this.lane.schedule(this.options.answerTimeout(), () -> failed(next, attempt,
				new PlatformException(ErrorCode.PLATFORM_UNKNOWN, "the log did not answer", null)));
		Uni.createFrom()
			.deferred(() -> this.log.append(this.stream, next.payload))
			.subscribe()
			.with((offset) -> this.lane.execute(() -> {
				guard.cancel();
				if (next.attempt == attempt) {
					succeed(next, offset);
				}
			}), (failure) -> this.lane.execute(() -> {
				guard.cancel();
				failed(next, attempt, failure);
			}));
	}

	private void succeed(Flight done, long offset) {
		if (this.flight != done || this.closed) {
			return;
		}
		this.flight = null;
		this.failures = 0;
		this.lastOwnOffset = Math.max(this.lastOwnOffset, offset);
		done.parts.forEach((part) -> part.complete(offset));
		flush();
	}

	private void failed(Flight lost, int attempt, Throwable failure) {
		if (this.flight != lost || lost.attempt != attempt || this.closed) {
			return;
		}
		lost.attempt++;
		boolean unknown = !(failure instanceof PlatformException platform) || platform.isUnknown();
		lost.unknown |= unknown;
		if (lost.unknown) {
			if (unknown && this.failures == 0) {
				this.failures = 1;
				readBack(lost);
			}
			else {
				retryAfterBackoff(() -> readBack(lost));
			}
			return;
		}
		this.flight = null;
		for (int i = lost.parts.size() - 1; i >= 0; i--) {
			PendingAppend part = lost.parts.get(i);
			(part.isInteractive() ? this.interactive : this.bulk).addFirst(part);
			this.queuedBytes += part.getBytes();
		}
		retryAfterBackoff(this::flush);
	}

	private void readBack(Flight lost) {
		if (this.flight != lost || this.closed) {
			return;
		}
		Uni.createFrom()
			.deferred(() -> LogSearch.find(this.log, this.stream, this.identity, lost.sequence, lost.readFrom))
			.subscribe()
			.with((found) -> this.lane.execute(() -> {
				if (this.flight != lost || this.closed) {
					return;
				}
				if (found.offset() >= 0) {
					succeed(lost, found.offset());
				}
				else {
					lost.readFrom = found.head();
					resend(lost);
				}
			}), (failure) -> this.lane.execute(() -> retryAfterBackoff(() -> readBack(lost))));
	}

	// The sequence stays the same: if the first append still takes effect later, readers
	// drop the second one.
	private void resend(Flight lost) {
		if (this.flight != lost || this.closed) {
			return;
		}
		long wait = this.pacer.tryTake(this.ticker.millis());
		if (wait > 0) {
			wakeAfter(wait, () -> resend(lost));
		}
		else {
			send(lost);
		}
	}

	private void retryAfterBackoff(Runnable action) {
		this.failures++;
		long limit = this.options.firstBackoff().toMillis() << Math.min(10, this.failures - 1);
		long ceiling = Math.max(1, Math.min(limit, this.options.maxBackoff().toMillis()));
		long wait = ceiling / 2 + this.random.nextLong(ceiling / 2 + 1);
		this.notBeforeMillis = this.ticker.millis() + wait;
		wakeAfter(wait, action);
	}

	private void wakeAfter(long millis, Runnable action) {
		cancelTimer();
		this.timer = this.lane.schedule(Duration.ofMillis(millis), action);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel();
			this.timer = null;
		}
	}

	/**
	 * One record whose append is not decided yet.
	 */
	private static final class Flight {

		private final List<PendingAppend> parts;

		private final byte[] payload;

		private final long sequence;

		private long readFrom;

		private int attempt;

		private boolean unknown;

		Flight(List<PendingAppend> parts, byte[] payload, long sequence, long readFrom) {
			this.parts = parts;
			this.payload = payload;
			this.sequence = sequence;
			this.readFrom = readFrom;
		}

	}

}
