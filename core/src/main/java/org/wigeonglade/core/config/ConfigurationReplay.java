package org.wigeonglade.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * State of the configuration after a prefix of the stream of changes. It depends only on
 * the records, so that all readers agree. A change is accepted if its base is the current
 * version; of several changes with the same base the first one wins, and the version
 * never decreases. Immutable.
 *
 * <p>
 * Only version numbers decide about acceptance. The body is not considered, because
 * builds of different age may validate it differently and would then disagree about the
 * versions that follow. A body is validated before it is published and again before it is
 * applied.
 *
 * <p>
 * If the oldest records of the stream have expired, a reader cannot determine which of
 * several changes with the same base won. Until it has reached the head once, it accepts
 * the highest version, and a carried copy (the winner, appended again before its record
 * expires) replaces what it accepted. Since a copy is appended before the winner expires,
 * the state at the head is the same as that of all other readers.
 */
public final class ConfigurationReplay {

	/** Bounds the memory for the history, which holds no bodies. */
	static final int MAX_HISTORY = 1000;

	private static final ConfigurationReplay INITIAL = new ConfigurationReplay(0, false, null, -1, List.of());

	private final long nextOffset;

	private final boolean highestVersionWins;

	private final ConfigChange current;

	private final long currentOffset;

	private final List<AcceptedChange> history;

	private ConfigurationReplay(long nextOffset, boolean highestVersionWins, ConfigChange current, long currentOffset,
			List<AcceptedChange> history) {
		this.nextOffset = nextOffset;
		this.highestVersionWins = highestVersionWins;
		this.current = current;
		this.currentOffset = currentOffset;
		this.history = history;
	}

	/**
	 * Returns the state before the first record.
	 * @return version 0 without a body
	 */
	public static ConfigurationReplay start() {
		return INITIAL;
	}

	/**
	 * Returns the identifier by which a writer finds its record in the stream.
	 * @param record the record, not null
	 * @return the writer, its incarnation and the sequence number, separated by colons
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
	 * Skips the records that have expired.
	 * @param oldestOffset the offset of the oldest retained record
	 * @return the state; if it skipped records, it accepts the highest version until
	 * {@link #withHeadReached()}
	 */
	public ConfigurationReplay withOldest(long oldestOffset) {
		if (oldestOffset <= this.nextOffset) {
			return this;
		}
		return new ConfigurationReplay(oldestOffset, true, this.current, this.currentOffset, this.history);
	}

	/**
	 * Ends the phase that follows skipped records, since the head was reached.
	 * @return the state, which accepts only changes based on its current version
	 */
	public ConfigurationReplay withHeadReached() {
		return (this.highestVersionWins)
				? new ConfigurationReplay(this.nextOffset, false, this.current, this.currentOffset, this.history)
				: this;
	}

	/**
	 * Applies a record. Records before {@link #getNextOffset()} are ignored.
	 * @param offset the offset of the record
	 * @param record the record, not null
	 * @return the state after it
	 */
	public ConfigurationReplay plus(long offset, LogRecord record) {
		if (offset < this.nextOffset) {
			return this;
		}
		ConfigurationReplay state = new ConfigurationReplay(offset + 1, this.highestVersionWins, this.current,
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
		boolean accepted = (this.highestVersionWins) ? change.getVersion() > getVersion()
				: change.getBaseVersion() == getVersion();
		return (accepted) ? withCurrent(offset, recordId, change) : this;
	}

	private ConfigurationReplay plusCarried(long offset, String recordId, ConfigChange change) {
		ConfigChange original = change.toBuilder().clearCarried().build();
		if (this.highestVersionWins && change.getVersion() >= getVersion()) {
			return withCurrent(offset, recordId, original);
		}
		if (original.equals(this.current)) {
			return new ConfigurationReplay(this.nextOffset, this.highestVersionWins, this.current, offset,
					this.history);
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
		return new ConfigurationReplay(this.nextOffset, this.highestVersionWins, change, offset, List.copyOf(extended));
	}

}
