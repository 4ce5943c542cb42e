package org.wigeonglade.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.ClockReading;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;

/**
 * Follows a keyed stream: lists the latest record of each key first, then polls for
 * appended records. When the store no longer retains the next offset, the stream is
 * listed again. A listing goes on after a failed call, and may take longer than the store
 * retains records. Confined to the event loop; all callbacks are run there.
 */
public final class StreamFollower {

	private static final EventLogger LOG = EventLogger.of(StreamFollower.class);

	/** Delay in milliseconds after the first failure in a row; doubles with each one. */
	private static final long INITIAL_BACKOFF_MILLIS = 100;

	/**
	 * Maximum delay in milliseconds after a failure. It is short so that the end of an
	 * outage of the store is noticed soon.
	 */
	private static final long MAX_BACKOFF_MILLIS = 600;

	/**
	 * Time in milliseconds after which a listing reads the records that were appended
	 * meanwhile. It is short so that the store still retains them.
	 */
	private static final long LISTING_READ_INTERVAL_MILLIS = 2_000;

	private final KeyedLog log;

	private final KeyedStream stream;

	private final PollTiming timing;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Listener listener;

	private long next = -1;

	private Listing listing;

	private boolean listed;

	private boolean reachable;

	private boolean stopped;

	private Future<?> nextPoll;

	private boolean reading;

	private boolean probing;

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private ClockReading currentAsOf = new ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

	private List<Runnable> readCallbacks = new ArrayList<>();

	private List<Runnable> probeCallbacks = new ArrayList<>();

	/**
	 * Creates a follower that is not started.
	 * @param log the store, not null
	 * @param stream the stream, not null
	 * @param timing the polling parameters, not null
	 * @param loop the event loop of the callbacks, not null
	 * @param ticker the clock, not null
	 * @param listener receives the records, not null
	 */
	public StreamFollower(KeyedLog log, KeyedStream stream, PollTiming timing, EventLoop loop, Ticker ticker,
			Listener listener) {
		this.log = log;
		this.stream = stream;
		this.timing = timing;
		this.loop = loop;
		this.ticker = ticker;
		this.listener = listener;
	}

	/**
	 * Starts following the stream.
	 */
	public void start() {
		poll();
	}

	/**
	 * Stops following; a read in progress still delivers its records.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns whether the stream has been listed since the start.
	 * @return true once the first listing is complete
	 */
	public boolean isListed() {
		return this.listed;
	}

	/**
	 * Returns the offset after the last record that was applied.
	 * @return the offset, negative before the first listing
	 */
	public long getNextOffset() {
		return this.next;
	}

	/**
	 * Returns the staleness of the state derived from the stream: the time since the
	 * start of the last read that reached its end.
	 * @return the age in milliseconds, very large before the first listing
	 */
	public long getAgeMillis() {
		return this.listed ? this.ticker.millis() - this.currentAsOf.monotonicMillis() : Long.MAX_VALUE / 2;
	}

	/**
	 * Returns when the last read that reached the end of the stream was started. The
	 * state derived from the stream is at least as new.
	 * @return the time by both clocks, very low before the first listing
	 */
	public ClockReading getCurrentAsOf() {
		return this.currentAsOf;
	}

	/**
	 * Returns whether the last call of the store succeeded.
	 * @return false before the first response and during an outage
	 */
	public boolean isReachable() {
		return this.reachable;
	}

	/**
	 * Runs a callback once a read that started after this call has reached the end of the
	 * stream. The read is started at once, unless the store is unavailable.
	 * @param callback the callback, not null
	 */
	public void whenCaughtUp(Runnable callback) {
		if (this.next < 0 || !this.reading) {
			this.readCallbacks.add(callback);
			if (this.next >= 0 && this.reachable) {
				poll();
			}
			return;
		}
		this.probeCallbacks.add(callback);
		if (!this.probing) {
			probe();
		}
	}

	/**
	 * Runs a callback once a read that started after this call has reached the end of the
	 * stream, or another one if that takes too long.
	 * @param timeout the maximum time, not null
	 * @param onCaughtUp run at most once, not null
	 * @param onTimeout run instead after the timeout, not null
	 */
	public void whenCaughtUp(Duration timeout, Runnable onCaughtUp, Runnable onTimeout) {
		AtomicBoolean ended = new AtomicBoolean();
		Future<?> timer = this.loop.schedule(() -> {
			if (ended.compareAndSet(false, true)) {
				onTimeout.run();
			}
		}, timeout.toMillis(), TimeUnit.MILLISECONDS);
		whenCaughtUp(() -> {
			if (ended.compareAndSet(false, true)) {
				timer.cancel(false);
				onCaughtUp.run();
			}
		});
	}

	// Asks for the end beside the read in progress, so that callbacks do not wait for its
	// end. Callbacks that are added meanwhile share the next probe.
	private void probe() {
		this.probing = true;
		ClockReading start = ClockReading.of(this.ticker);
		List<Runnable> callbacks = this.probeCallbacks;
		this.probeCallbacks = new ArrayList<>();
		this.log.findEnd(this.stream, this.next)
			.subscribe()
			.with((end) -> this.loop.execute(() -> probeCompleted(end, start, callbacks)),
					(failure) -> this.loop.execute(() -> probeFailed(callbacks)));
	}

	// Records beyond the next offset are delivered by the read in progress, which returns
	// as soon as they are appended; the callbacks are run after the next one.
	private void probeCompleted(long end, ClockReading start, List<Runnable> callbacks) {
		this.probing = false;
		if (!this.probeCallbacks.isEmpty()) {
			probe();
		}
		if (end <= this.next) {
			recordCurrent(start);
			runAll(callbacks);
		}
		else {
			this.readCallbacks.addAll(callbacks);
		}
	}

	private void probeFailed(List<Runnable> callbacks) {
		this.probing = false;
		this.readCallbacks.addAll(callbacks);
		this.readCallbacks.addAll(this.probeCallbacks);
		this.probeCallbacks.clear();
	}

	private void poll() {
		if (this.nextPoll != null) {
			this.nextPoll.cancel(false);
			this.nextPoll = null;
		}
		if (this.stopped || this.reading) {
			return;
		}
		this.reading = true;
		if (this.next >= 0) {
			read();
			return;
		}
		if (this.listing == null) {
			this.listing = new Listing(this.ticker.millis());
		}
		continueListing();
	}

	private void continueListing() {
		if (this.listing.isRecordReadDue(this.ticker.millis())) {
			readRecordsOfListing();
		}
		else if (!this.listing.pagesComplete) {
			readPageOfListing();
		}
		else {
			completeListing();
		}
	}

	private void readPageOfListing() {
		Listing current = this.listing;
		ClockReading start = ClockReading.of(this.ticker);
		this.log.list(this.stream, current.afterKey).subscribe().with((page) -> continueOnLoop(() -> {
			recordSuccess();
			current.addPage(page, start);
			continueListing();
		}, List.of()), this::handleFailureOnLoop);
	}

	private void readRecordsOfListing() {
		Listing current = this.listing;
		ClockReading start = ClockReading.of(this.ticker);
		this.log.read(this.stream, current.content.getNextOffset(), Duration.ZERO)
			.subscribe()
			.with((slice) -> continueOnLoop(() -> {
				recordSuccess();
				current.addSlice(slice, start);
				continueListing();
			}, List.of()), this::handleFailureOnLoop);
	}

	private void completeListing() {
		Listing complete = this.listing;
		this.listing = null;
		List<KeyedRecord> records = complete.content.toRecords();
		this.listener.listed(records);
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		this.next = complete.content.getNextOffset();
		this.currentAsOf = complete.asOf;
		this.listed = true;
		LOG.log(GatewayEvent.STREAM_LISTED, this.stream, records.size(), this.next, complete.pages, complete.bytes,
				this.ticker.millis() - complete.startMillis);
		this.reading = false;
		schedule(0);
	}

	private void read() {
		ClockReading start = ClockReading.of(this.ticker);
		List<Runnable> callbacks = this.readCallbacks;
		this.readCallbacks = new ArrayList<>();
		// The end of an outage is noticed sooner by reads that do not wait.
		Duration wait = (callbacks.isEmpty() && this.reachable) ? this.timing.maxWait() : Duration.ZERO;
		this.log.read(this.stream, this.next, wait)
			.subscribe()
			.with((slice) -> continueOnLoop(() -> readCompleted(slice, start, callbacks), callbacks), (failure) -> {
				this.loop.execute(() -> this.readCallbacks.addAll(callbacks));
				handleFailureOnLoop(failure);
			});
	}

	private void readCompleted(KeyedSlice slice, ClockReading start, List<Runnable> callbacks) {
		recordSuccess();
		if (!slice.records().isEmpty()) {
			this.listener.appended(slice.records());
		}
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		this.next = Math.max(this.next, slice.next());
		this.reading = false;
		if (slice.next() < slice.end()) {
			this.readCallbacks.addAll(callbacks);
			schedule(0);
			return;
		}
		recordCurrent(start);
		runAll(callbacks);
		long elapsedMillis = this.ticker.millis() - start.monotonicMillis();
		schedule(this.readCallbacks.isEmpty() ? Math.max(0, this.timing.interval().toMillis() - elapsedMillis) : 0);
	}

	private void recordCurrent(ClockReading start) {
		if (start.monotonicMillis() > this.currentAsOf.monotonicMillis()) {
			this.currentAsOf = start;
		}
	}

	// Continues a listing or a read on the event loop. If that fails, the state derived
	// from the stream is incomplete, so the stream is listed anew before the callbacks
	// are run.
	private void continueOnLoop(Runnable task, List<Runnable> callbacks) {
		this.loop.execute(() -> {
			try {
				task.run();
			}
			catch (RuntimeException | StackOverflowError | OutOfMemoryError ex) {
				LOG.log(GatewayEvent.STREAM_LISTENER_FAILED, ex, this.stream, this.next);
				this.next = -1;
				this.listing = null;
				this.listed = false;
				this.reading = false;
				this.readCallbacks.addAll(callbacks);
				scheduleAfterFailure();
			}
		});
	}

	private void scheduleAfterFailure() {
		schedule(this.backoffMillis);
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
	}

	// A callback that fails ends neither the others nor the reading of the stream.
	private void runAll(List<Runnable> callbacks) {
		for (Runnable callback : callbacks) {
			try {
				callback.run();
			}
			catch (RuntimeException | StackOverflowError | OutOfMemoryError ex) {
				LOG.log(GatewayEvent.UNEXPECTED, ex, (Object) null);
			}
		}
	}

	private void recordSuccess() {
		if (!this.reachable) {
			this.reachable = true;
			LOG.log(GatewayEvent.STORE_REACHABLE, this.stream, this.next);
		}
		this.listener.storeAnswered();
	}

	private void handleFailureOnLoop(Throwable failure) {
		this.loop.execute(() -> handleFailure(failure));
	}

	private void handleFailure(Throwable failure) {
		this.reading = false;
		if (failure instanceof PlatformException platform && platform.getCode() == ErrorCode.OFFSET_EXPIRED) {
			LOG.log(GatewayEvent.STREAM_OFFSET_EXPIRED, this.stream,
					(this.listing != null) ? this.listing.content.getNextOffset() : this.next);
			this.next = -1;
			this.listing = null;
			schedule(0);
			return;
		}
		if (this.reachable || !this.listed) {
			LOG.log(GatewayEvent.STORE_UNREACHABLE, this.stream, this.next, FailureText.of(failure));
		}
		this.reachable = false;
		this.listener.storeFailed();
		scheduleAfterFailure();
	}

	private void schedule(long delayMillis) {
		if (this.nextPoll == null) {
			this.nextPoll = this.loop.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * A listing in progress, with what the next call needs.
	 */
	private static final class Listing {

		private final StreamListing content = new StreamListing();

		private final long startMillis;

		private String afterKey;

		private boolean pagesComplete;

		private long recordsReadMillis;

		private ClockReading asOf;

		private int pages;

		private long bytes;

		private Listing(long startMillis) {
			this.startMillis = startMillis;
			this.recordsReadMillis = startMillis;
		}

		private boolean isRecordReadDue(long nowMillis) {
			return this.pagesComplete ? !this.content.isComplete()
					: this.pages > 0 && nowMillis - this.recordsReadMillis >= LISTING_READ_INTERVAL_MILLIS;
		}

		// The first page sets the offset from which records are read.
		private void addPage(KeyedPage page, ClockReading read) {
			this.content.addPage(page);
			this.asOf = read;
			this.recordsReadMillis = (this.pages++ > 0) ? this.recordsReadMillis : read.monotonicMillis();
			this.bytes += page.records().stream().mapToLong(KeyedRecord::size).sum();
			this.pagesComplete = !page.truncated() || page.records().isEmpty();
			if (!this.pagesComplete) {
				this.afterKey = page.records().get(page.records().size() - 1).key();
			}
		}

		private void addSlice(KeyedSlice slice, ClockReading read) {
			this.content.addSlice(slice);
			if (slice.next() >= slice.end()) {
				this.recordsReadMillis = read.monotonicMillis();
				this.asOf = read;
			}
			this.bytes += slice.records().stream().mapToLong(KeyedRecord::size).sum();
		}

	}

	/**
	 * Receives the records of a stream on the event loop.
	 */
	public interface Listener {

		/**
		 * Receives the latest record of each key in stream order. Keys that are missing
		 * have been removed.
		 * @param records the records, not null
		 */
		void listed(List<KeyedRecord> records);

		/**
		 * Receives records that were appended.
		 * @param records the records in stream order, not empty
		 */
		void appended(List<KeyedRecord> records);

		/**
		 * Called after each successful listing or read.
		 */
		default void storeAnswered() {
		}

		/**
		 * Called after each failed listing or read, except when the next offset had
		 * expired.
		 */
		default void storeFailed() {
		}

	}

}
