package org.wigeonglade.entry.control;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Appends records of this host to a stream of the control runtime. There is no batching,
 * since these streams receive only a few records per minute. Thread-safe.
 */
final class StreamAppender {

	private final ControlContext context;

	private final PlatformHealth health;

	private final StreamName stream;

	private final AtomicLong sequence = new AtomicLong();

	StreamAppender(ControlContext context, PlatformHealth health, StreamName stream) {
		this.context = context;
		this.health = health;
		this.stream = stream;
	}

	// Creates a record with the next sequence number.
	LogRecord newRecord(List<LogEntry> entries) {
		return LogRecord.newBuilder()
			.setHost(this.context.identity().host().value())
			.setIncarnation(this.context.identity().incarnation())
			.setSequence(this.sequence.incrementAndGet())
			.setWallTimeMs(this.context.ticker().wallMillis())
			.addAllEntries(entries)
			.build();
	}

	Uni<Long> append(LogRecord record) {
		return this.context
			.onLoop(Uni.createFrom().deferred(() -> this.context.log().append(this.stream, record.toByteArray())))
			.onFailure()
			.invoke((failure) -> this.health.recordFailure("log", failure))
			.invoke((offset) -> this.health.recordSuccess("log"));
	}

}
