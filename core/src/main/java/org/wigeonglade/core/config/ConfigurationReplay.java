package org.wigeonglade.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Replays the stream of configuration changes. The result depends only on the records, so
 * all readers agree. A version is accepted when its base is the current version; the
 * first one wins, and the version never goes back. Immutable.
 *
 * <p>
 * Only the numbers decide, never the body: builds of different age may judge a body
 * differently and would otherwise disagree on the versions that follow. A body is checked
 * before it is published and again before it is put in force.
 *
 * <p>
 * A reader whose start was expired cannot know which of several changes of the oldest
 * versions won. Until it has reached the head once it takes the highest version, and a
 * carried copy overrides what it took. Since a copy is appended before the winner
 * expires, the result at the head is the one of all other readers.
 */
public final class ConfigurationReplay {

	/** Bounds the history that a host keeps in memory, without bodies. */
	static final int MAX_HISTORY = 1000;

	private static final ConfigurationReplay START = new ConfigurationReplay(0, false, null, -1, List.of());

	private final long nextOffset;

	private final boolean joinedLate;

	private final ConfigChange current;

	private final long currentOffset;

	private final List<AcceptedChange> history;

	private ConfigurationReplay(long nextOffset, boolean joinedLate, ConfigChange current, long currentOffset,
			List<AcceptedChange> history) {
		this.nextOffset = nextOffset;
		this.joinedLate = joinedLate;
		this.current = current;
		this.currentOffset = currentOffset;
		this.history = history;
	}

	/**
	 * Returns the state before the first record.
	 * @return version 0 without a body
	 */
	public static ConfigurationReplay start() {
		return START;
	}

	/**
	 * Returns the identifier of a record, by which its writer finds it again.
	 * @param record the record, not null
	 * @return the writer, its incarnation and the sequence number
	 */
	public static String getRecordId(LogRecord record) {
		return record.getHost() + ":" + record.getIncarnation() + ":" + record.getSequence();
	}

	/**
	 * Returns the offset to read next.
	 * @return the offset, at least 0
	 */
	public long getNextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the current version.
	 * @return the version, 0 before the first
	 */
	public long getVersion() {
		return (this.current != null) ? this.current.getVersion() : 0;
	}

	/**
	 * Returns the current change.
	 * @return the change with its body, empty before the first
	 */
	public Optional<ConfigChange> getCurrent() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns the offset of the newest record that holds the current version.
	 * @return the offset, -1 before the first
	 */
	public long getCurrentOffset() {
		return this.currentOffset;
	}

	/**
	 * Returns the accepted versions, newest last.
	 * @return the versions that were replayed, at most {@value #MAX_HISTORY}
	 */
	public List<AcceptedChange> getHistory() {
		return this.history;
	}

	/**
	 * Applies the oldest retained offset of the stream.
	 * @param oldestOffset the offset of the oldest retained record
	 * @return the state; records before the offset are known to be missed
	 */
	public ConfigurationReplay withOldest(long oldestOffset) {
		if (oldestOffset <= this.nextOffset) {
			return this;
		}
		return new ConfigurationReplay(oldestOffset, true, this.current, this.currentOffset, this.history);
	}

	/**
	 * Marks that the head of the stream was reached.
	 * @return the state that judges the records that follow strictly
	 */
	public ConfigurationReplay withHeadReached() {
		return (this.joinedLate)
				? new ConfigurationReplay(this.nextOffset, false, this.current, this.currentOffset, this.history)
				: this;
	}

	/**
	 * Applies a record. Records before {@link #getNextOffset()} change nothing.
	 * @param offset the offset of the record
	 * @param record the record, not null
	 * @return the state after it
	 */
	public ConfigurationReplay plus(long offset, LogRecord record) {
		if (offset < this.nextOffset) {
			return this;
		}
		ConfigurationReplay state = new ConfigurationReplay(offset + 1, this.joinedLate, this.current,
				this.currentOffset, this.history);
		for (LogEntry entry : record.getEntriesList()) {
			if (entry.hasConfigChange()) {
				state = state.plus(offset, getRecordId(record), entry.getConfigChange());
			}
		}
		return state;
	}

	/**
	 * Skips a record that cannot be decoded.
	 * @param offset the offset of the record
	 * @return the state after it
	 */
	public ConfigurationReplay plusUnreadable(long offset) {
		return plus(offset, LogRecord.getDefaultInstance());
	}

	private ConfigurationReplay plus(long offset, String recordId, ConfigChange change) {
		if (change.getVersion() < 1 || change.getBaseVersion() != change.getVersion() - 1) {
			return this;
		}
		if (change.getCarried()) {
			return plusCarried(offset, recordId, change);
		}
		boolean accepted = (this.joinedLate) ? change.getVersion() > getVersion()
				: change.getBaseVersion() == getVersion();
		return (accepted) ? withCurrent(offset, recordId, change) : this;
	}

	private ConfigurationReplay plusCarried(long offset, String recordId, ConfigChange change) {
		ConfigChange original = change.toBuilder().clearCarried().build();
		if (this.joinedLate && change.getVersion() >= getVersion()) {
			return withCurrent(offset, recordId, original);
		}
		if (original.equals(this.current)) {
			return new ConfigurationReplay(this.nextOffset, this.joinedLate, this.current, offset, this.history);
		}
		return this;
	}

	private ConfigurationReplay withCurrent(long offset, String recordId, ConfigChange change) {
		List<AcceptedChange> extended = new ArrayList<>(this.history);
		extended.removeIf((c) -> c.version() >= change.getVersion());
		extended.add(AcceptedChange.of(change, offset, recordId));
		if (extended.size() > MAX_HISTORY) {
			extended.removeFirst();
		}
		return new ConfigurationReplay(this.nextOffset, this.joinedLate, change, offset, List.copyOf(extended));
	}

}
