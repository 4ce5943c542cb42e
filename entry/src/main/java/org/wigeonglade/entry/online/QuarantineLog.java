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
import org.wigeonglade.schema.generated.log.QuarantineAdded;

/**
 * Keeps quarantines in the control stream and reads those of other hosts. Thread-safe.
 */
public final class QuarantineLog implements QuarantineRecorder {

	/**
	 * Added to the name of the host as the writer, because other parts of the host number
	 * their own records in the same stream.
	 */
	private static final String WRITER_SUFFIX = ".quarantine";

	private static final int READ_RECORDS = 200;

	private static final int APPEND_ATTEMPTS = 5;

	private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);

	private static final Duration LAST_BACKOFF = Duration.ofSeconds(10);

	private final LogService log;

	private final StreamName stream;

	private final String writer;

	private final long incarnation;

	private final Ticker ticker;

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicBoolean reading = new AtomicBoolean();

	private volatile long nextOffset;

	/**
	 * Creates the access to the stream.
	 * @param log the log service, not null
	 * @param stream the control stream, not null
	 * @param host the name of this host, not null
	 * @param incarnation the incarnation of this host
	 * @param ticker the clocks, not null
	 */
	public QuarantineLog(LogService log, StreamName stream, HostId host, long incarnation, Ticker ticker) {
		this.log = log;
		this.stream = stream;
		this.writer = host.value() + WRITER_SUFFIX;
		this.incarnation = incarnation;
		this.ticker = ticker;
	}

	@Override
	public Uni<Void> record(QuarantineAdded added) {
		LogRecord record = LogRecord.newBuilder()
			.setHost(this.writer)
			.setIncarnation(this.incarnation)
			.setSequence(this.sequence.incrementAndGet())
			.setWallTimeMs(this.ticker.wallMillis())
			.addEntries(LogEntry.newBuilder().setQuarantineAdded(added))
			.build();
		// The entry may be written twice after a lost answer; applying it again changes
		// nothing.
		return Uni.createFrom()
			.deferred(() -> this.log.append(this.stream, record.toByteArray()))
			.onFailure()
			.retry()
			.withBackOff(FIRST_BACKOFF, LAST_BACKOFF)
			.atMost(APPEND_ATTEMPTS)
			.replaceWithVoid();
	}

	/**
	 * Reads what was appended since the last call.
	 * @param online takes the entries, not null
	 */
	public void poll(OnlineRuntime online) {
		if (this.reading.compareAndSet(false, true)) {
			this.log.read(this.stream, this.nextOffset, READ_RECORDS).subscribe().with((slice) -> {
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
				else if (entry.hasQuarantineLifted()) {
					online.onQuarantineLifted(Fingerprint.of(entry.getQuarantineLifted().getFingerprint()));
				}
			}
		}
		catch (InvalidProtocolBufferException ex) {
			// Other readers of the stream report unreadable records; here they say
			// nothing.
			return;
		}
	}

}
