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
 * State of a partition after the records up to an offset were applied. Compact and
 * mutable, because a rebuild applies millions of changes; only {@link PartitionReplay}
 * changes it, on one thread. Bodies and results stay in the log.
 */
public final class PartitionState {

	/** Term of a state whose claims are no longer retained. */
	static final long TERM_UNKNOWN = -1;

	/** Separates workspace and key; neither may hold it. */
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
	 * @return true if anyone may claim it
	 */
	public boolean isReleased() {
		return this.released;
	}

	/**
	 * Returns whether a host holds the partition under a term.
	 * @param host the host
	 * @param incarnation its incarnation
	 * @param wanted the term
	 * @return true if no newer claim and no release was applied
	 */
	public boolean isOwnedBy(String host, long incarnation, long wanted) {
		return this.term == wanted && !this.released && this.ownerHost.equals(host)
				&& this.ownerIncarnation == incarnation;
	}

	/**
	 * Finds a job.
	 * @param batchId the identifier
	 * @return the job, empty if it was not accepted or has expired
	 */
	public Optional<JobState> findJob(String batchId) {
		return Optional.ofNullable(this.jobs.get(batchId));
	}

	/**
	 * Returns the accepted jobs in the order of their acceptance.
	 * @return an unmodifiable view
	 */
	public Collection<JobState> getJobs() {
		return Collections.unmodifiableCollection(this.jobs.values());
	}

	/**
	 * Finds what an idempotency key stands for.
	 * @param workspace the workspace
	 * @param key the key
	 * @return the key, empty if it is not used
	 */
	public Optional<KeyState> findKey(String workspace, String key) {
		return Optional.ofNullable(this.keys.get(keyOf(workspace, key)));
	}

	/**
	 * Returns the offset that the last complete snapshot covers.
	 * @return the offset, -1 if there is no snapshot
	 */
	public long getSnapshotCovers() {
		return this.snapshotCovers;
	}

	/**
	 * Returns how many duplicate records were dropped.
	 * @return at least 0
	 */
	public long getDuplicates() {
		return this.duplicates;
	}

	/**
	 * Returns an independent copy.
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
	 * Compares what the records mean. Counters and snapshot positions are left out,
	 * because they depend on where a reader started.
	 * @param that the other state, not null
	 * @return true if both states answer every question alike
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
			.append(Arrays.toString(job.takeOffsets()))
			.append(job.getLastWallMillis())
			.append('\n'));
		this.keys.forEach((key, value) -> text.append(key).append(value.describe()).append('\n'));
		this.writers.forEach((host, at) -> text.append(at).append('\n'));
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
