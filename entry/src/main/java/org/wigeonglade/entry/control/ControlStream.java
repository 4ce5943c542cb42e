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
 * Follows the control stream and appends to it. Runs on the control loop.
 */
final class ControlStream {

	private static final EventLogger logger = EventLogger.of(ControlStream.class);

	private final ControlContext context;

	private final StreamReader reader;

	private final StreamAppender appender;

	private final List<Consumer<LogEntry>> listeners = new CopyOnWriteArrayList<>();

	private PlacementReplay placement = PlacementReplay.start();

	private boolean headReached;

	ControlStream(ControlContext context, PlatformHealth health) {
		this.context = context;
		this.reader = new StreamReader(context, health, ControlStreams.CONTROL, this::onSlice);
		this.appender = new StreamAppender(context, health, ControlStreams.CONTROL);
	}

	PlacementReplay getPlacement() {
		return this.placement;
	}

	boolean isHeadReached() {
		return this.headReached;
	}

	void addListener(Consumer<LogEntry> listener) {
		this.listeners.add(listener);
	}

	LogRecord next(List<LogEntry> entries) {
		return this.appender.next(entries);
	}

	Uni<Long> append(LogRecord record) {
		return this.appender.append(record);
	}

	Uni<Void> readToHead() {
		return this.reader.readToHead(() -> this.placement.getNextOffset());
	}

	void tick(LongSupplier pollMillis) {
		this.reader.tick(this.context.now(), pollMillis, () -> this.placement.getNextOffset());
	}

	private void onSlice(LogSlice slice, List<StreamReader.Entry> entries) {
		this.placement = this.placement.withOldest(slice.oldestOffset());
		for (StreamReader.Entry entry : entries) {
			if (entry.offset() >= this.placement.getNextOffset()) {
				apply(entry.offset(), (entry.record() != null) ? entry.record() : LogRecord.getDefaultInstance());
			}
		}
		this.headReached |= this.placement.getNextOffset() >= slice.headOffset();
	}

	private void apply(long offset, LogRecord record) {
		try {
			this.placement = this.placement.plus(offset, record);
			record.getEntriesList().forEach((entry) -> this.listeners.forEach((l) -> l.accept(entry)));
		}
		catch (WigeongladeException ex) {
			// A record with a malformed name would otherwise stop this stream for good.
			logger.log(ControlEvent.RECORD_UNREADABLE, ex, ControlStreams.CONTROL, offset);
			this.placement = this.placement.plus(offset, LogRecord.getDefaultInstance());
		}
	}

}
