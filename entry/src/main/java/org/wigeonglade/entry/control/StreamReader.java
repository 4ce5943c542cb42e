package org.wigeonglade.entry.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Polls a stream, decodes its records in order and passes them to a consumer. A poll is
 * skipped while the previous one runs, unless that one has timed out. Runs on the control
 * loop.
 */
final class StreamReader {

	private static final EventLogger logger = EventLogger.of(StreamReader.class);

	/** Limits the memory of one read; configurations are the largest records. */
	private static final int MAX_RECORDS = 64;

	private final ControlContext context;

	private final PlatformHealth health;

	private final StreamName stream;

	private final BiConsumer<LogSlice, List<DecodedRecord>> consumer;

	private Uni<Void> activeRead;

	private long activeReadStarted;

	private long nextPoll;

	StreamReader(ControlContext context, PlatformHealth health, StreamName stream,
			BiConsumer<LogSlice, List<DecodedRecord>> consumer) {
		this.context = context;
		this.health = health;
		this.stream = stream;
		this.consumer = consumer;
	}

	void tick(long now, LongSupplier pollMillis, LongSupplier nextOffset) {
		if (now < this.nextPoll) {
			return;
		}
		this.nextPoll = now + pollMillis.getAsLong();
		boolean timedOut = now - this.activeReadStarted >= 4 * this.context.options().platformTimeout().toMillis();
		if (this.activeRead == null || timedOut) {
			this.activeReadStarted = now;
			Uni<Void> read = readToHead(nextOffset).onTermination().invoke(() -> this.activeRead = null);
			this.activeRead = read;
			read.subscribe().with((done) -> {
			}, (failure) -> {
			});
		}
	}

	// Reads from the next offset until the head of the stream is reached.
	Uni<Void> readToHead(LongSupplier nextOffset) {
		return Uni.createFrom()
			.deferred(() -> this.context
				.onLoop(this.context.log().read(this.stream, nextOffset.getAsLong(), MAX_RECORDS)))
			.onFailure()
			.invoke((failure) -> this.health.recordFailure("log", failure))
			.onItem()
			.transformToUni((slice) -> onSlice(slice, nextOffset));
	}

	private Uni<Void> onSlice(LogSlice slice, LongSupplier nextOffset) {
		this.health.recordSuccess("log");
		long before = nextOffset.getAsLong();
		this.consumer.accept(slice, decode(slice));
		boolean more = nextOffset.getAsLong() < slice.headOffset() && nextOffset.getAsLong() > before;
		return (more) ? readToHead(nextOffset) : Uni.createFrom().voidItem();
	}

	private List<DecodedRecord> decode(LogSlice slice) {
		List<DecodedRecord> records = new ArrayList<>();
		for (StoredRecord stored : slice.records()) {
			try {
				records.add(new DecodedRecord(stored.offset(), LogRecord.parseFrom(stored.payload())));
			}
			catch (InvalidProtocolBufferException ex) {
				logger.log(ControlEvent.RECORD_UNREADABLE, ex, this.stream, stored.offset());
				records.add(new DecodedRecord(stored.offset(), null));
			}
		}
		return records;
	}

	/**
	 * Decoded record of a stream.
	 *
	 * @param offset the offset of the record in the stream
	 * @param record the record, or null if it cannot be decoded
	 */
	record DecodedRecord(long offset, LogRecord record) {

	}

}
