package org.wigeonglade.core.batch;

import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.wigeonglade.schema.generated.log.WriterPosition;

/**
 * Replayed state of a partition after the records up to an offset. Item bodies and
 * results stay in the log and are referenced by offset. Compact and mutable, because a
 * rebuild applies millions of changes. Only {@link PartitionReplay} changes it, on one
 * thread.
 */
public final class PartitionState {

	/** Term of a state for which the log retains no claim. */
	static final long TERM_UNKNOWN = -1;

	/** Separates workspace and idempotency key; neither may contain it. */
	private static final char KEY_SEPARATOR = '\n';

	private final Map<String, JobState> jobs = new LinkedHashMap<>();

	private final Map<String, StagedJob> staged = new TreeMap<>();

	private final Map<String, KeyState> keys = new TreeMap<>();

	private final Map<String, WriterPosition> writers = new TreeMap<>();

	private long appliedOffset = -1;

	private long term;

	private String ownerHost = "";

	private long ownerIncarnation;

	private boolean released;

	private String openSnapshotId = "";

	private long openSnapshotCovers = -1;

	private long snapshotCovers = -1;

	private long duplicates;

	/**
	 * Returns the offset of the last applied record.
	 * @return the offset, -1 if there is none
	 */
	public long getAppliedOffset() {
		return this.appliedOffset;
	}

	/**
	 * Returns the term of the last valid claim.
	 * @return the term, 0 before the first claim
	 */
	public long getTerm() {
		return this.term;
	}

	/**
	 * Returns the host of the last valid claim.
	 * @return the host, empty before the first claim
	 */
	public String getOwnerHost() {
		return this.ownerHost;
	}

	/**
	 * Returns the incarnation of the owner.
	 * @return the incarnation, 0 before the first claim
	 */
	public long getOwnerIncarnation() {
		return this.ownerIncarnation;
	}

	/**
	 * Returns whether the owner released the partition.
	 * @return true if any host may claim it
	 */
	public boolean isReleased() {
		return this.released;
	}

	/**
	 * Returns whether a host owns the partition in a term.
	 * @param host the name of the host
	 * @param incarnation the incarnation of the host
	 * @param expectedTerm the term
	 * @return true if it made the last valid claim, in that term, and did not release it
	 */
	public boolean isOwnedBy(String host, long incarnation, long expectedTerm) {
		return this.term == expectedTerm && !this.released && this.ownerHost.equals(host)
				&& this.ownerIncarnation == incarnation;
	}

	/**
	 * Finds a job.
	 * @param batchId the identifier of the job
	 * @return the job, empty if it was not accepted or has expired
	 */
	public Optional<JobState> findJob(String batchId) {
		return Optional.ofNullable(this.jobs.get(batchId));
	}

	/**
	 * Returns the accepted jobs in order of acceptance.
	 * @return an unmodifiable view
	 */
	public Collection<JobState> getJobs() {
		return Collections.unmodifiableCollection(this.jobs.values());
	}

	/**
	 * Finds the state of an idempotency key.
	 * @param workspace the name of the workspace
	 * @param key the idempotency key
	 * @return the state, empty if the key is not in use
	 */
	public Optional<KeyState> findKey(String workspace, String key) {
		return Optional.ofNullable(this.keys.get(keyOf(workspace, key)));
	}

	/**
	 * Returns the highest offset covered by a complete snapshot.
	 * @return the offset, -1 if there is no snapshot
	 */
	public long getSnapshotCovers() {
		return this.snapshotCovers;
	}

	/**
	 * Returns how many records were dropped as duplicates.
	 * @return at least 0
	 */
	public long getDuplicates() {
		return this.duplicates;
	}

	/**
	 * Returns a deep copy.
	 * @return the copy, never null
	 */
	public PartitionState copy() {
		PartitionState copy = new PartitionState();
		this.jobs.forEach((id, job) -> copy.jobs.put(id, job.copy()));
		this.staged.forEach((id, job) -> copy.staged.put(id, job.copy()));
		copy.keys.putAll(this.keys);
		copy.writers.putAll(this.writers);
		copy.appliedOffset = this.appliedOffset;
		copy.setOwner(this.term, this.ownerHost, this.ownerIncarnation, this.released);
		copy.openSnapshotId = this.openSnapshotId;
		copy.openSnapshotCovers = this.openSnapshotCovers;
		copy.snapshotCovers = this.snapshotCovers;
		copy.duplicates = this.duplicates;
		return copy;
	}

	/**
	 * Compares the replayed content. The duplicate count and the snapshot positions are
	 * left out, because they depend on where the reader started.
	 * @param that the other state, not null
	 * @return true if jobs, keys, owner, writers and applied offset are equal
	 */
	public boolean sameContent(PartitionState that) {
		return describe().equals(that.describe());
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		text.append(this.appliedOffset).append(' ').append(this.term).append(' ').append(this.ownerHost);
		text.append(' ').append(this.ownerIncarnation).append(' ').append(this.released).append('\n');
		this.jobs.values().forEach((job) -> text.append(job).append('\n'));
		this.staged.forEach((id, job) -> text.append(id)
			.append(Arrays.toString(job.copyOffsets()))
			.append(job.getLastWallMillis())
			.append('\n'));
		this.keys.forEach((key, value) -> text.append(key).append(value.describe()).append('\n'));
		this.writers.forEach((host, position) -> text.append(position).append('\n'));
		return text.toString();
	}

	static String keyOf(String workspace, String key) {
		return workspace + KEY_SEPARATOR + key;
	}

	void setAppliedOffset(long offset) {
		this.appliedOffset = offset;
	}

	void setOwner(long newTerm, String host, long incarnation, boolean isReleased) {
		this.term = newTerm;
		this.ownerHost = host;
		this.ownerIncarnation = incarnation;
		this.released = isReleased;
	}

	boolean advanceWriter(String host, long incarnation, long sequence) {
		WriterPosition last = this.writers.get(host);
		if (last != null && (incarnation < last.getIncarnation()
				|| (incarnation == last.getIncarnation() && sequence <= last.getSequence()))) {
			this.duplicates++;
			return false;
		}
		putWriter(WriterPosition.newBuilder().setHost(host).setIncarnation(incarnation).setSequence(sequence).build());
		return true;
	}

	void putWriter(WriterPosition position) {
		this.writers.put(position.getHost(), position);
	}

	Collection<WriterPosition> getWriters() {
		return this.writers.values();
	}

	Map<String, StagedJob> staged() {
		return this.staged;
	}

	Map<String, JobState> jobs() {
		return this.jobs;
	}

	Map<String, KeyState> keys() {
		return this.keys;
	}

	void openSnapshot(String id, long covers) {
		this.openSnapshotId = id;
		this.openSnapshotCovers = covers;
	}

	void closeSnapshot(String id) {
		if (this.openSnapshotId.equals(id)) {
			this.snapshotCovers = Math.max(this.snapshotCovers, this.openSnapshotCovers);
		}
	}

}
