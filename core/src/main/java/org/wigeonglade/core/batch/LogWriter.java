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
 * Log writer with group commit: appends the entries of one host to one stream, several
 * per record, with at most one append in flight. When the result of an append is unknown,
 * it searches the stream for its record before it appends anything else. The state is
 * confined to the executor; the public methods may be called by any thread.
 */
public final class LogWriter {

	/** Longest time that an interactive entry waits for others to share its record. */
	private static final long INTERACTIVE_DELAY_MILLIS = 2;

	/** Before any clock value; half of the range avoids overflow in subtractions. */
	private static final long DISTANT_PAST = Long.MIN_VALUE / 2;

	private final StreamName stream;

	private final WriterIdentity identity;

	private final LogService log;

	private final SerialExecutor executor;

	private final Ticker ticker;

	private final AppendPacer pacer;

	private final WriterOptions options;

	private final RandomGenerator random;

	private final LongSupplier lastReadOffset;

	private final Deque<PendingAppend> interactive = new ArrayDeque<>();

	private final Deque<PendingAppend> bulk = new ArrayDeque<>();

	private InFlightRecord inFlight;

	private int queuedBytes;

	private long sequence;

	private long lastAppendedOffset = -1;

	private int consecutiveFailures;

	private long earliestSendMillis = DISTANT_PAST;

	private Cancellable timer;

	private boolean closed;

	private volatile long appends;

	/**
	 * Creates a writer.
	 * @param stream the stream
	 * @param identity the identity of the writer, unique among the writers of the stream
	 * @param log the log service
	 * @param executor runs all tasks of the writer
	 * @param ticker the clock
	 * @param pacer limits the append rate of this host
	 * @param options the settings
	 * @param random source of the retry jitter
	 * @param lastReadOffset supplies the last offset read from the stream, -1 if none
	 */
	public LogWriter(StreamName stream, WriterIdentity identity, LogService log, SerialExecutor executor, Ticker ticker,
			AppendPacer pacer, WriterOptions options, RandomGenerator random, LongSupplier lastReadOffset) {
		this.stream = stream;
		this.identity = identity;
		this.log = log;
		this.executor = executor;
		this.ticker = ticker;
		this.pacer = pacer;
		this.options = options;
		this.random = random;
		this.lastReadOffset = lastReadOffset;
	}

	/**
	 * Appends entries in one record, which may hold entries of other calls too.
	 * @param entries the entries, no larger than one record
	 * @param interactive whether a caller is waiting, so that the group delay is short
	 * @param timeout the time after which the call fails, or null for no limit; an append
	 * in flight is not stopped by it
	 * @param condition checked before the entries are sent; they fail if it no longer
	 * holds
	 * @return the offset of the record; fails with {@link PlatformException}, whose code
	 * tells whether the entries may have been appended
	 */
	public Uni<Long> append(List<LogEntry> entries, boolean interactive, Duration timeout, BooleanSupplier condition) {
		PendingAppend pending = new PendingAppend(entries, interactive, condition, this.ticker.millis());
		this.executor.execute(() -> enqueue(pending, timeout));
		return Uni.createFrom().completionStage(pending.getFuture());
	}

	/**
	 * Returns the number of appends sent to the log service, including retries.
	 * @return at least 0
	 */
	public long getAppends() {
		return this.appends;
	}

	/**
	 * Returns whether the last call of the log service failed; to be called on the
	 * executor.
	 * @return true during an outage
	 */
	public boolean isFailing() {
		return this.consecutiveFailures > 0;
	}

	/**
	 * Stops without further appends. Waiting entries fail as not appended, those in
	 * flight as unknown.
	 */
	public void close() {
		this.executor.execute(() -> {
			this.closed = true;
			cancelTimer();
			List<PendingAppend> waiting = new ArrayList<>(this.interactive);
			waiting.addAll(this.bulk);
			waiting.forEach((p) -> p.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null));
			this.interactive.clear();
			this.bulk.clear();
			if (this.inFlight != null) {
				this.inFlight.pending
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
			pending.setTimer(this.executor.schedule(timeout, () -> handleTimeout(pending)));
		}
		(pending.isInteractive() ? this.interactive : this.bulk).add(pending);
		this.queuedBytes += pending.getBytes();
		flush();
	}

	private void handleTimeout(PendingAppend pending) {
		if (this.interactive.remove(pending) || this.bulk.remove(pending)) {
			this.queuedBytes -= pending.getBytes();
			pending.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the record was not appended within the time limit", null);
		}
		else {
			pending.fail(ErrorCode.PLATFORM_UNKNOWN, "the log did not confirm the append within the time limit", null);
		}
	}

	private void flush() {
		if (this.inFlight != null || this.closed) {
			return;
		}
		if (this.interactive.isEmpty() && this.bulk.isEmpty()) {
			return;
		}
		long now = this.ticker.millis();
		long wait = Math.max(dueMillis(), this.earliestSendMillis) - now;
		if (wait <= 0) {
			failObsolete(this.interactive);
			failObsolete(this.bulk);
			if (this.interactive.isEmpty() && this.bulk.isEmpty()) {
				return;
			}
			wait = this.pacer.tryAcquire(now);
		}
		if (wait > 0) {
			scheduleAfter(wait, this::flush);
			return;
		}
		send(buildNextRecord());
	}

	private long dueMillis() {
		if (this.queuedBytes >= this.options.maxRecordBytes()) {
			return DISTANT_PAST;
		}
		long delay = this.options.groupDelay().toMillis();
		long due = this.bulk.isEmpty() ? Long.MAX_VALUE : this.bulk.peek().getQueuedMillis() + delay;
		if (!this.interactive.isEmpty()) {
			due = Math.min(due, this.interactive.peek().getQueuedMillis() + Math.min(delay, INTERACTIVE_DELAY_MILLIS));
		}
		return due;
	}

	private void failObsolete(Deque<PendingAppend> queue) {
		queue.removeIf((pending) -> {
			if (pending.isNeeded()) {
				return false;
			}
			this.queuedBytes -= pending.getBytes();
			pending.fail(ErrorCode.PLATFORM_UNAVAILABLE, "the condition of the append no longer holds", null);
			return true;
		});
	}

	private InFlightRecord buildNextRecord() {
		List<PendingAppend> pending = new ArrayList<>();
		int bytes = 0;
		for (Deque<PendingAppend> queue : List.of(this.interactive, this.bulk)) {
			while (!queue.isEmpty()
					&& (pending.isEmpty() || bytes + queue.peek().getBytes() <= this.options.maxRecordBytes())) {
				PendingAppend append = queue.poll();
				bytes += append.getBytes();
				pending.add(append);
				this.queuedBytes -= append.getBytes();
			}
		}
		LogRecord.Builder builder = LogRecord.newBuilder()
			.setHost(this.identity.host())
			.setIncarnation(this.identity.incarnation())
			.setSequence(++this.sequence)
			.setWallTimeMs(this.ticker.wallMillis());
		pending.forEach((append) -> builder.addAllEntries(append.getEntries()));
		long readFrom = Math.max(this.lastAppendedOffset, this.lastReadOffset.getAsLong()) + 1;
		return new InFlightRecord(pending, builder.build().toByteArray(), this.sequence, readFrom);
	}

	private void send(InFlightRecord sent) {
		this.inFlight = sent;
		int attempt = ++sent.attempt;
		this.appends++;
		Cancellable answerTimer = this.executor.schedule(this.options.answerTimeout(),
				() -> handleFailure(sent, attempt, new PlatformException(ErrorCode.PLATFORM_UNKNOWN,
						"the log did not answer the append within the time limit", null)));
		Uni.createFrom()
			.deferred(() -> this.log.append(this.stream, sent.payload))
			.subscribe()
			.with((offset) -> this.executor.execute(() -> {
				answerTimer.cancel();
				if (sent.attempt == attempt) {
					complete(sent, offset);
				}
			}), (failure) -> this.executor.execute(() -> {
				answerTimer.cancel();
				handleFailure(sent, attempt, failure);
			}));
	}

	private void complete(InFlightRecord appended, long offset) {
		if (this.inFlight != appended || this.closed) {
			return;
		}
		this.inFlight = null;
		this.consecutiveFailures = 0;
		this.lastAppendedOffset = Math.max(this.lastAppendedOffset, offset);
		appended.pending.forEach((append) -> append.complete(offset));
		flush();
	}

	private void handleFailure(InFlightRecord sent, int attempt, Throwable failure) {
		if (this.inFlight != sent || sent.attempt != attempt || this.closed) {
			return;
		}
		sent.attempt++;
		boolean failureUnknown = !(failure instanceof PlatformException platform) || platform.isUnknown();
		sent.outcomeUnknown |= failureUnknown;
		if (sent.outcomeUnknown) {
			if (failureUnknown && this.consecutiveFailures == 0) {
				this.consecutiveFailures = 1;
				readBack(sent);
			}
			else {
				retryAfterBackoff(() -> readBack(sent));
			}
			return;
		}
		this.inFlight = null;
		for (int i = sent.pending.size() - 1; i >= 0; i--) {
			PendingAppend append = sent.pending.get(i);
			(append.isInteractive() ? this.interactive : this.bulk).addFirst(append);
			this.queuedBytes += append.getBytes();
		}
		retryAfterBackoff(this::flush);
	}

	private void readBack(InFlightRecord unconfirmed) {
		if (this.inFlight != unconfirmed || this.closed) {
			return;
		}
		Uni.createFrom()
			.deferred(() -> LogSearch.find(this.log, this.stream, this.identity, unconfirmed.sequence,
					unconfirmed.readFrom))
			.subscribe()
			.with((found) -> this.executor.execute(() -> {
				if (this.inFlight != unconfirmed || this.closed) {
					return;
				}
				if (found.offset() >= 0) {
					complete(unconfirmed, found.offset());
				}
				else {
					unconfirmed.readFrom = found.headOffset();
					resend(unconfirmed);
				}
			}), (failure) -> this.executor.execute(() -> retryAfterBackoff(() -> readBack(unconfirmed))));
	}

	// The sequence number stays the same: if the first append takes effect later, readers
	// drop the duplicate.
	private void resend(InFlightRecord unconfirmed) {
		if (this.inFlight != unconfirmed || this.closed) {
			return;
		}
		long wait = this.pacer.tryAcquire(this.ticker.millis());
		if (wait > 0) {
			scheduleAfter(wait, () -> resend(unconfirmed));
		}
		else {
			send(unconfirmed);
		}
	}

	private void retryAfterBackoff(Runnable action) {
		this.consecutiveFailures++;
		long limit = this.options.firstBackoff().toMillis() << Math.min(10, this.consecutiveFailures - 1);
		long ceiling = Math.max(1, Math.min(limit, this.options.maxBackoff().toMillis()));
		long wait = ceiling / 2 + this.random.nextLong(ceiling / 2 + 1);
		this.earliestSendMillis = this.ticker.millis() + wait;
		scheduleAfter(wait, action);
	}

	private void scheduleAfter(long millis, Runnable action) {
		cancelTimer();
		this.timer = this.executor.schedule(Duration.ofMillis(millis), action);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel();
			this.timer = null;
		}
	}

	/**
	 * Record whose append has no known result yet.
	 */
	private static final class InFlightRecord {

		private final List<PendingAppend> pending;

		private final byte[] payload;

		private final long sequence;

		private long readFrom;

		private int attempt;

		private boolean outcomeUnknown;

		InFlightRecord(List<PendingAppend> pending, byte[] payload, long sequence, long readFrom) {
			this.pending = pending;
			this.payload = payload;
			this.sequence = sequence;
			this.readFrom = readFrom;
		}

	}

}
