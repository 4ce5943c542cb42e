package org.wigeonglade.entry.online;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Writes quarantines and crashes to the control stream and reads those of other hosts.
 * Thread-safe.
 */
public final class QuarantineLog implements QuarantineRecorder {

	/**
	 * Appended to the host name to form the name of the writer, because other components
	 * of the host number their own records in the same stream.
	 */
	private static final String WRITER_SUFFIX = ".quarantine";

	private static final int MAX_READ_RECORDS = 200;

	private static final int APPEND_ATTEMPTS = 5;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(10);

	private final LogService log;

	private final StreamName stream;

	private final String writer;

	private final long incarnation;

	private final Ticker ticker;

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicBoolean reading = new AtomicBoolean();

	private volatile long nextOffset;

	/**
	 * Creates a log that reads the stream from its beginning.
	 * @param log the log service, not null
	 * @param stream the control stream, not null
	 * @param host the name of this host, not null
	 * @param incarnation the incarnation of this host, written with each record
	 * @param ticker the wall and monotonic clocks, not null
	 */
	public QuarantineLog(LogService log, StreamName stream, HostId host, long incarnation, Ticker ticker) {
		this.log = log;
		this.stream = stream;
		this.writer = host.value() + WRITER_SUFFIX;
		this.incarnation = incarnation;
		this.ticker = ticker;
	}

	@Override
	public Uni<Void> record(LogEntry entry) {
		LogRecord record = LogRecord.newBuilder()
			.setHost(this.writer)
			.setIncarnation(this.incarnation)
			.setSequence(this.sequence.incrementAndGet())
			.setWallTimeMs(this.ticker.wallMillis())
			.addEntries(entry)
			.build();
		// A retry after a lost reply may write the entry twice; applying it again has
		// no effect.
		return Uni.createFrom()
			.deferred(() -> this.log.append(this.stream, record.toByteArray()))
			.onFailure()
			.retry()
			.withBackOff(INITIAL_BACKOFF, MAX_BACKOFF)
			.atMost(APPEND_ATTEMPTS)
			.replaceWithVoid();
	}

	/**
	 * Reads the entries appended since the last call, unless a read is in progress.
	 * @param online applies the entries, not null
	 */
	public void poll(OnlineRuntime online) {
		if (this.reading.compareAndSet(false, true)) {
			this.log.read(this.stream, this.nextOffset, MAX_READ_RECORDS).subscribe().with((slice) -> {
				apply(slice, online);
				this.reading.set(false);
			}, (failure) -> this.reading.set(false));
		}
	}

	private void apply(LogSlice slice, OnlineRuntime online) {
		for (StoredRecord stored : slice.records()) {
			apply(stored, online);
			this.nextOffset = stored.offset() + 1;
		}
	}

	private static void apply(StoredRecord stored, OnlineRuntime online) {
		try {
			for (LogEntry entry : LogRecord.parseFrom(stored.payload()).getEntriesList()) {
				if (entry.hasQuarantineAdded()) {
					online.onQuarantineRecorded(entry.getQuarantineAdded());
				}
				else if (entry.hasCrashNotice()) {
					online.onCrashReported(entry.getCrashNotice());
				}
				else if (entry.hasQuarantineLifted()) {
					online.onQuarantineLifted(Fingerprint.of(entry.getQuarantineLifted().getFingerprint()));
				}
			}
		}
		catch (InvalidProtocolBufferException ex) {
			// Ignored here, because other readers of the stream report unreadable
			// records.
			return;
		}
	}

}
