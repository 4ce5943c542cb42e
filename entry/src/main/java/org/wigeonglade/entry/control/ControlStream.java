package org.wigeonglade.entry.control;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.place.PlacementReplay;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Follows the control stream, replays its placement records and appends to it. Runs on
 * the control loop.
 */
final class ControlStream {

	private static final EventLogger logger = EventLogger.of(ControlStream.class);

	private final ControlContext context;

	private final StreamReader reader;

	private final StreamAppender appender;

	private final List<Consumer<LogEntry>> listeners = new CopyOnWriteArrayList<>();

	private PlacementReplay placementReplay = PlacementReplay.start();

	private boolean headReached;

	ControlStream(ControlContext context, PlatformHealth health) {
		this.context = context;
		this.reader = new StreamReader(context, health, ControlStreams.CONTROL, this::onSlice);
		this.appender = new StreamAppender(context, health, ControlStreams.CONTROL);
	}

	PlacementReplay getPlacementReplay() {
		return this.placementReplay;
	}

	boolean isHeadReached() {
		return this.headReached;
	}

	void addListener(Consumer<LogEntry> listener) {
		this.listeners.add(listener);
	}

	LogRecord newRecord(List<LogEntry> entries) {
		return this.appender.newRecord(entries);
	}

	Uni<Long> append(LogRecord record) {
		return this.appender.append(record);
	}

	Uni<Void> readToHead() {
		return this.reader.readToHead(() -> this.placementReplay.getNextOffset());
	}

	void tick(LongSupplier pollMillis) {
		this.reader.tick(this.context.now(), pollMillis, () -> this.placementReplay.getNextOffset());
	}

	private void onSlice(LogSlice slice, List<StreamReader.DecodedRecord> records) {
		this.placementReplay = this.placementReplay.withOldest(slice.oldestOffset());
		for (StreamReader.DecodedRecord decoded : records) {
			if (decoded.offset() >= this.placementReplay.getNextOffset()) {
				apply(decoded.offset(), (decoded.record() != null) ? decoded.record() : LogRecord.getDefaultInstance());
			}
		}
		this.headReached |= this.placementReplay.getNextOffset() >= slice.headOffset();
	}

	private void apply(long offset, LogRecord record) {
		try {
			this.placementReplay = this.placementReplay.plus(offset, record);
			record.getEntriesList().forEach((entry) -> this.listeners.forEach((l) -> l.accept(entry)));
		}
		catch (WigeongladeException ex) {
			// Skips the record, since one with a malformed name would otherwise block the
			// stream permanently.
			logger.log(ControlEvent.RECORD_UNREADABLE, ex, ControlStreams.CONTROL, offset);
			this.placementReplay = this.placementReplay.plus(offset, LogRecord.getDefaultInstance());
		}
	}

}
