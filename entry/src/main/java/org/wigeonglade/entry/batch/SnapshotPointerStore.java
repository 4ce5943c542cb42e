package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.LogWriter;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.SnapshotPointer;

/**
 * Pointers to the last snapshots of partitions, appended to the control stream and found
 * by reading it backwards. A missing pointer costs only time, because the reader then
 * scans the partition stream from the oldest record.
 */
final class SnapshotPointerStore {

	static final StreamName CONTROL_STREAM = StreamName.of("control");

	private static final int RECORDS_PER_READ = 256;

	/** Finding an older pointer would take more reads than it saves. */
	private static final int MAX_READS = 8;

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final LogService log;

	private final LogWriter writer;

	SnapshotPointerStore(LogService log, LogWriter writer) {
		this.log = log;
		this.writer = writer;
	}

	Uni<Long> findLastOffset(int partition) {
		return this.log.read(CONTROL_STREAM, 0, 1)
			.chain((slice) -> search(partition, slice.oldestOffset(), slice.headOffset(), MAX_READS))
			.onFailure()
			.recoverWithItem(0L);
	}

	Uni<Void> publish(int partition, long offset) {
		SnapshotPointer pointer = SnapshotPointer.newBuilder().setPartition(partition).setOffset(offset).build();
		return this.writer
			.append(List.of(LogEntry.newBuilder().setSnapshotPointer(pointer).build()), false, TIMEOUT, () -> true)
			.replaceWithVoid();
	}

	private Uni<Long> search(int partition, long oldest, long end, int reads) {
		if (end <= oldest || reads == 0) {
			return Uni.createFrom().item(0L);
		}
		long from = Math.max(oldest, end - RECORDS_PER_READ);
		return this.log.read(CONTROL_STREAM, from, (int) (end - from)).chain((slice) -> {
			long found = findLastPointer(partition, slice);
			return (found >= 0) ? Uni.createFrom().item(found)
					: search(partition, Math.max(oldest, slice.oldestOffset()), from, reads - 1);
		});
	}

	private static long findLastPointer(int partition, LogSlice slice) {
		long found = -1;
		for (var stored : slice.records()) {
			try {
				for (LogEntry entry : LogRecord.parseFrom(stored.payload()).getEntriesList()) {
					if (entry.hasSnapshotPointer() && entry.getSnapshotPointer().getPartition() == partition) {
						found = entry.getSnapshotPointer().getOffset();
					}
				}
			}
			catch (InvalidProtocolBufferException ex) {
				// Reported by the readers of the control stream.
				continue;
			}
		}
		return found;
	}

}
