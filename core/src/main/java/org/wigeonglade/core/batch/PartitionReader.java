package org.wigeonglade.core.batch;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Builds the state of a partition from slices of its stream. Starts at offset 0, at a
 * snapshot, or at the first complete snapshot after the oldest retained record; starts
 * over when records that it still needs have expired. Pure: the caller reads the log.
 */
public final class PartitionReader {

	private final ReplayObserver observer;

	private PartitionState state = new PartitionState();

	private SnapshotCollector collector;

	private long next;

	private long scanStart;

	private boolean started;

	private boolean lossy;

	private boolean current;

	private long undecodable;

	/**
	 * Creates a reader.
	 * @param startOffset where to look for a snapshot first, 0 if no pointer is known
	 * @param observer is told the changes, not null
	 */
	public PartitionReader(long startOffset, ReplayObserver observer) {
		this.observer = observer;
		scanFrom(Math.max(0, startOffset));
	}

	/**
	 * Returns the state.
	 * @return the state as far as it was read, never null
	 */
	public PartitionState getState() {
		return this.state;
	}

	/**
	 * Returns the next offset to read.
	 * @return at least 0
	 */
	public long getNextOffset() {
		return this.next;
	}

	/**
	 * Returns whether the last slice reached the head of the stream.
	 * @return true if the state was current when that slice was read
	 */
	public boolean isCurrent() {
		return this.current;
	}

	/**
	 * Returns whether records had expired before any snapshot covered them.
	 * @return true if older jobs may be missing
	 */
	public boolean isLossy() {
		return this.lossy;
	}

	/**
	 * Returns how many records could not be decoded.
	 * @return at least 0
	 */
	public long getUndecodable() {
		return this.undecodable;
	}

	/**
	 * Takes a slice that was read from {@link #getNextOffset()}.
	 * @param slice the slice, not null
	 */
	public void offer(LogSlice slice) {
		this.current = false;
		if (!this.started) {
			start(slice);
		}
		else if (this.collector == null && slice.oldestOffset() > this.next) {
			scanFrom(slice.oldestOffset());
			start(slice);
		}
		for (StoredRecord stored : slice.records()) {
			if (this.collector == null && stored.offset() > this.next) {
				return;
			}
			if (stored.offset() >= this.next && !take(stored, slice.oldestOffset())) {
				return;
			}
		}
		if (this.next >= slice.headOffset()) {
			reachHead(slice);
		}
	}

	private void start(LogSlice slice) {
		this.started = true;
		if (this.next == 0 && slice.oldestOffset() == 0) {
			apply(new PartitionState(), 0);
		}
		else if (slice.oldestOffset() > this.next) {
			scanFrom(slice.oldestOffset());
			this.started = true;
		}
	}

	private boolean take(StoredRecord stored, long oldestOffset) {
		LogRecord decoded = decode(stored);
		this.next = stored.offset() + 1;
		if (decoded == null) {
			return true;
		}
		if (this.collector == null) {
			PartitionReplay.apply(this.state, stored.offset(), decoded, this.observer);
			return true;
		}
		Optional<PartitionState> found = this.collector.offer(decoded, oldestOffset);
		found.ifPresent((snapshot) -> apply(snapshot, snapshot.getAppliedOffset() + 1));
		return found.isEmpty();
	}

	private void reachHead(LogSlice slice) {
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
				this.lossy = true;
			}
			apply(empty, slice.oldestOffset());
			this.current = slice.oldestOffset() >= slice.headOffset();
		}
	}

	private void scanFrom(long offset) {
		this.collector = new SnapshotCollector();
		this.next = offset;
		this.scanStart = offset;
		this.started = false;
	}

	private void apply(PartitionState base, long from) {
		this.collector = null;
		this.state = base;
		this.next = from;
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
