package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.wigeonglade.gateway.store.KeyedRecord;

/**
 * Retention policy of jobs. The stream keeps the latest record of each key indefinitely,
 * so the records of finished jobs must be removed explicitly: a job is removed when it is
 * done and its results have been readable for the guaranteed time. Not thread-safe.
 */
public final class JobRetention {

	/**
	 * Time that results are kept beyond the guaranteed time, since the clocks of hosts
	 * differ and callers may read slightly late.
	 */
	private static final Duration MARGIN = Duration.ofSeconds(15);

	/** Time in milliseconds after which the removal of a job is retried. */
	private static final long RETRY_MILLIS = 10_000;

	private final Duration retention;

	private final Map<JobId, Long> lastDropMillis = new HashMap<>();

	/**
	 * Creates a policy.
	 * @param retention the time after submission for which results stay readable, not
	 * null
	 */
	public JobRetention(Duration retention) {
		this.retention = retention;
	}

	/**
	 * Selects the expired jobs that this host removes now. A job is not selected again
	 * before the retry time.
	 * @param jobs the jobs, not null
	 * @param wallMillis the current time in milliseconds since the epoch
	 * @param owned tests whether this host owns a job, not null
	 * @return the removal records to append, empty if no job has expired
	 */
	public List<KeyedRecord> selectExpired(Collection<Job> jobs, long wallMillis, Predicate<JobId> owned) {
		long limit = this.retention.plus(MARGIN).toMillis();
		this.lastDropMillis.values().removeIf((at) -> wallMillis - at > RETRY_MILLIS);
		List<KeyedRecord> records = new ArrayList<>();
		for (Job job : jobs) {
			boolean expired = job.isDone() && wallMillis - job.getSubmittedAtMillis() > limit;
			if (expired && owned.test(job.getId())
					&& this.lastDropMillis.putIfAbsent(job.getId(), wallMillis) == null) {
				job.getRecordKeys().forEach((key) -> records.add(KeyedRecord.of(key, null)));
			}
		}
		return records;
	}

}
