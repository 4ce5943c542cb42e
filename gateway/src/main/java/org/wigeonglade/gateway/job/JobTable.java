package org.wigeonglade.gateway.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.schema.generated.gateway.ItemResult;
import org.wigeonglade.schema.generated.gateway.ItemState;
import org.wigeonglade.schema.generated.gateway.JobPart;

/**
 * Replicated state of jobs and results, derived from the records of the gateway's own
 * stream. Hosts that apply the same records in stream order have the same jobs, and each
 * result at the same position. Not thread-safe.
 */
public final class JobTable {

	private final Map<JobId, Job> jobs = new HashMap<>();

	private long finishedTokens;

	/**
	 * Replaces the state by a listing of the stream. Results that were already applied
	 * keep their positions, since callers may have read them.
	 * @param records the latest record of each key in stream order, not null
	 * @param onInvalid receives each record that cannot be decoded, not null
	 */
	public void reset(List<KeyedRecord> records, BiConsumer<KeyedRecord, RuntimeException> onInvalid) {
		Set<JobId> listed = new HashSet<>();
		// Parts are applied first: the latest part record of a job that was submitted
		// twice may follow its results.
		records.stream()
			.filter((r) -> r.key().startsWith(JobRecords.PART_PREFIX))
			.forEach((r) -> applyOrReport(r, onInvalid).ifPresent((job) -> listed.add(job.getId())));
		records.stream()
			.filter((r) -> !r.key().startsWith(JobRecords.PART_PREFIX))
			.forEach((r) -> applyOrReport(r, onInvalid));
		this.jobs.keySet().retainAll(listed);
	}

	private Optional<Job> applyOrReport(KeyedRecord record, BiConsumer<KeyedRecord, RuntimeException> onInvalid) {
		try {
			return apply(record);
		}
		catch (RuntimeException ex) {
			onInvalid.accept(record, ex);
			return Optional.empty();
		}
	}

	/**
	 * Applies an appended record. Records with an unknown key prefix are ignored.
	 * @param record the record, not null
	 * @return the job that changed, empty if none changed
	 * @throws org.wigeonglade.core.error.PlatformException if the record cannot be
	 * decoded
	 */
	public Optional<Job> apply(KeyedRecord record) {
		if (record.value() == null) {
			return removeJob(record.key());
		}
		if (record.key().startsWith(JobRecords.PART_PREFIX)) {
			JobPart part = JobRecords.readPart(record);
			Job job = findOrCreate(JobId.of(part.getJobId()));
			job.addPart(record.key(), part);
			return Optional.of(job);
		}
		if (record.key().startsWith(JobRecords.RESULT_PREFIX)) {
			ItemResult result = JobRecords.readResult(record);
			Job job = findOrCreate(JobId.of(result.getJobId()));
			long before = job.getOpenTokens();
			boolean added = job.addResult(record.key(), new ItemOutcome(ItemId.of(result.getItemId()),
					result.getState() == ItemState.ITEM_STATE_COMPLETED, result.getOutput()));
			this.finishedTokens += before - job.getOpenTokens();
			return added ? Optional.of(job) : Optional.empty();
		}
		if (record.key().startsWith(JobRecords.END_PREFIX)) {
			Job job = findOrCreate(JobId.of(JobRecords.readEnd(record).getJobId()));
			job.end(record.key());
			return Optional.of(job);
		}
		return Optional.empty();
	}

	/**
	 * Returns an accepted job.
	 * @param id the job, not null
	 * @return the job, empty if it is unknown or incomplete
	 */
	public Optional<Job> find(JobId id) {
		return Optional.ofNullable(this.jobs.get(id)).filter(Job::isComplete);
	}

	/**
	 * Returns the total tokens of the items whose results have been applied.
	 * @return the sum, which never decreases
	 */
	public long getFinishedTokens() {
		return this.finishedTokens;
	}

	/**
	 * Returns all jobs, including incomplete ones.
	 * @return a live view that must not be changed
	 */
	public Collection<Job> getJobs() {
		return this.jobs.values();
	}

	private Job findOrCreate(JobId id) {
		return this.jobs.computeIfAbsent(id, Job::new);
	}

	private Optional<Job> removeJob(String key) {
		int end = key.lastIndexOf('/');
		return (key.startsWith(JobRecords.PART_PREFIX) && end >= JobRecords.PART_PREFIX.length())
				? Optional.ofNullable(this.jobs.remove(JobId.of(key.substring(JobRecords.PART_PREFIX.length(), end))))
				: Optional.empty();
	}

}
