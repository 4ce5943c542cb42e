package org.wigeonglade.core.batch;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Replay of a partition stream from slices that the caller reads from the log. Starts at
 * offset 0, at a given snapshot, or at the first complete snapshot after the oldest
 * retained record, and starts again from a snapshot when records that were not read yet
 * have expired. Not thread-safe.
 */
public final class PartitionReader {

	private final ReplayObserver observer;

	private PartitionState state = new PartitionState();

	private SnapshotCollector collector;

	private long nextOffset;

	private long scanStart;

	private boolean started;

	private boolean historyLost;

	private boolean current;

	private long undecodable;

	/**
	 * Creates a reader.
	 * @param startOffset the offset at which the search for a snapshot begins, 0 if none
	 * is known
	 * @param observer receives the changes, not null
	 */
	public PartitionReader(long startOffset, ReplayObserver observer) {
		this.observer = observer;
		scanFrom(Math.max(0, startOffset));
	}

	/**
	 * Returns the state after the records read so far.
	 * @return the state, never null; another instance after a new start
	 */
	public PartitionState getState() {
		return this.state;
	}

	/**
	 * Returns the next offset to read.
	 * @return at least 0
	 */
	public long getNextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns whether the last slice reached the head of the stream.
	 * @return true if the state was current at the time of that read
	 */
	public boolean isCurrent() {
		return this.current;
	}

	/**
	 * Returns whether records expired before a snapshot covered them.
	 * @return true if older jobs may be missing
	 */
	public boolean isHistoryLost() {
		return this.historyLost;
	}

	/**
	 * Returns how many records could not be decoded.
	 * @return at least 0
	 */
	public long getUndecodable() {
		return this.undecodable;
	}

	/**
	 * Applies a slice.
	 * @param slice the slice that was read from {@link #getNextOffset()}, not null
	 */
	public void offer(LogSlice slice) {
		this.current = false;
		if (!this.started) {
			start(slice);
		}
		else if (this.collector == null && slice.oldestOffset() > this.nextOffset) {
			scanFrom(slice.oldestOffset());
			start(slice);
		}
		for (StoredRecord stored : slice.records()) {
			if (this.collector == null && stored.offset() > this.nextOffset) {
				return;
			}
			if (stored.offset() >= this.nextOffset && !applyRecord(stored, slice.oldestOffset())) {
				return;
			}
		}
		if (this.nextOffset >= slice.headOffset()) {
			handleHead(slice);
		}
	}

	private void start(LogSlice slice) {
		this.started = true;
		if (this.nextOffset == 0 && slice.oldestOffset() == 0) {
			startFrom(new PartitionState(), 0);
		}
		else if (slice.oldestOffset() > this.nextOffset) {
			scanFrom(slice.oldestOffset());
			this.started = true;
		}
	}

	private boolean applyRecord(StoredRecord stored, long oldestOffset) {
		LogRecord decoded = decode(stored);
		this.nextOffset = stored.offset() + 1;
		if (decoded == null) {
			return true;
		}
		if (this.collector == null) {
			PartitionReplay.apply(this.state, stored.offset(), decoded, this.observer);
			return true;
		}
		Optional<PartitionState> restored = this.collector.offer(decoded, oldestOffset);
		restored.ifPresent((snapshot) -> startFrom(snapshot, snapshot.getAppliedOffset() + 1));
		return restored.isEmpty();
	}

	private void handleHead(LogSlice slice) {
		if (this.collector == null) {
			this.current = true;
		}
		else if (this.scanStart > slice.oldestOffset()) {
			scanFrom(slice.oldestOffset());
		}
		else {
			PartitionState empty = new PartitionState();
			empty.setAppliedOffset(slice.oldestOffset() - 1);
			if (slice.oldestOffset() > 0) {
				empty.setOwner(PartitionState.TERM_UNKNOWN, "", 0, false);
				this.historyLost = true;
			}
			startFrom(empty, slice.oldestOffset());
			this.current = slice.oldestOffset() >= slice.headOffset();
		}
	}

	private void scanFrom(long offset) {
		this.collector = new SnapshotCollector();
		this.nextOffset = offset;
		this.scanStart = offset;
		this.started = false;
	}

	private void startFrom(PartitionState base, long from) {
		this.collector = null;
		this.state = base;
		this.nextOffset = from;
		this.observer.stateReplaced(base);
	}

	private LogRecord decode(StoredRecord stored) {
		try {
			return LogRecord.parseFrom(stored.payload());
		}
		catch (InvalidProtocolBufferException ex) {
			this.undecodable++;
			return null;
		}
	}

}
