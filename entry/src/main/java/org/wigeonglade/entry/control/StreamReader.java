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
 * Reads a stream in order and hands its records on, one read at a time. Runs on the
 * control loop.
 */
final class StreamReader {

	private static final EventLogger logger = EventLogger.of(StreamReader.class);

	/**
	 * Bounds the memory of one read; bodies of configurations are the largest records.
	 */
	private static final int MAX_RECORDS = 64;

	private final ControlContext context;

	private final PlatformHealth health;

	private final StreamName stream;

	private final BiConsumer<LogSlice, List<Entry>> consumer;

	private Uni<Void> running;

	private long started;

	private long nextPoll;

	StreamReader(ControlContext context, PlatformHealth health, StreamName stream,
			BiConsumer<LogSlice, List<Entry>> consumer) {
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
		boolean stuck = now - this.started >= 4 * this.context.options().platformTimeout().toMillis();
		if (this.running == null || stuck) {
			this.started = now;
			Uni<Void> read = readToHead(nextOffset).onTermination().invoke(() -> this.running = null);
			this.running = read;
			read.subscribe().with((done) -> {
			}, (failure) -> {
			});
		}
	}

	// Reads from the next offset until the head of the stream was seen once.
	Uni<Void> readToHead(LongSupplier nextOffset) {
		return Uni.createFrom()
			.deferred(() -> this.context
				.onLoop(this.context.log().read(this.stream, nextOffset.getAsLong(), MAX_RECORDS)))
			.onFailure()
			.invoke((failure) -> this.health.failed("log", failure))
			.onItem()
			.transformToUni((slice) -> onSlice(slice, nextOffset));
	}

	private Uni<Void> onSlice(LogSlice slice, LongSupplier nextOffset) {
		this.health.succeeded("log");
		long before = nextOffset.getAsLong();
		this.consumer.accept(slice, decode(slice));
		boolean more = nextOffset.getAsLong() < slice.headOffset() && nextOffset.getAsLong() > before;
		return (more) ? readToHead(nextOffset) : Uni.createFrom().voidItem();
	}

	private List<Entry> decode(LogSlice slice) {
		List<Entry> entries = new ArrayList<>();
		for (StoredRecord stored : slice.records()) {
			try {
				entries.add(new Entry(stored.offset(), LogRecord.parseFrom(stored.payload())));
			}
			catch (InvalidProtocolBufferException ex) {
				logger.log(ControlEvent.RECORD_UNREADABLE, ex, this.stream, stored.offset());
				entries.add(new Entry(stored.offset(), null));
			}
		}
		return entries;
	}

	/**
	 * Holds a record.
	 *
	 * @param offset its offset
	 * @param record the record, or null if it cannot be decoded
	 */
	record Entry(long offset, LogRecord record) {

	}

}
