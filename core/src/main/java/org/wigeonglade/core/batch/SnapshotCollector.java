package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Collector of snapshot entries during a forward read of a stream, until one snapshot is
 * complete.
 */
final class SnapshotCollector {

	/** Bounds the memory for snapshots that lost owners left incomplete. */
	private static final int MAX_OPEN = 4;

	private final Map<String, List<LogEntry>> open = new LinkedHashMap<>();

	Optional<PartitionState> offer(LogRecord entry, long oldestOffset) {
		for (LogEntry part : entry.getEntriesList()) {
			switch (part.getKindCase()) {
				case SNAPSHOT_BEGIN -> begin(part);
				case SNAPSHOT_JOB -> add(part.getSnapshotJob().getSnapshotId(), part);
				case SNAPSHOT_KEYS -> add(part.getSnapshotKeys().getSnapshotId(), part);
				case SNAPSHOT_END -> {
					List<LogEntry> entries = this.open.remove(part.getSnapshotEnd().getSnapshotId());
					if (entries != null && entries.size() + 1 == part.getSnapshotEnd().getEntryCount()
							&& entries.get(0).getSnapshotBegin().getCoversOffset() + 1 >= oldestOffset) {
						return Optional.of(PartitionSnapshot.decode(entries));
					}
				}
				default -> {
					// Other entries after the covered offset are applied once the
					// snapshot is decoded.
				}
			}
		}
		return Optional.empty();
	}

	private void begin(LogEntry part) {
		if (this.open.size() == MAX_OPEN) {
			this.open.remove(this.open.keySet().iterator().next());
		}
		this.open.put(part.getSnapshotBegin().getSnapshotId(), new ArrayList<>(List.of(part)));
	}

	private void add(String id, LogEntry part) {
		List<LogEntry> entries = this.open.get(id);
		if (entries != null) {
			entries.add(part);
		}
	}

}
