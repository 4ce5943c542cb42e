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
 * Decides which jobs are dropped from the stream, which otherwise keeps the newest record
 * of every key for good. A job is dropped when nothing of it is left to do and its
 * results have been readable for the promised time. Not thread-safe.
 */
public final class JobRetention {

	/**
	 * Time beyond the promised one, since the clocks of hosts differ and callers read a
	 * little longer.
	 */
	private static final Duration MARGIN = Duration.ofSeconds(15);

	/** Time until the drop of a job is tried again, in milliseconds. */
	private static final long RETRY_MILLIS = 10_000;

	private final Duration retention;

	private final Map<JobId, Long> tried = new HashMap<>();

	/**
	 * Creates the decision.
	 * @param retention how long results stay readable after the submission, not null
	 */
	public JobRetention(Duration retention) {
		this.retention = retention;
	}

	/**
	 * Selects what is dropped now.
	 * @param jobs the jobs, not null
	 * @param wallMillis the present time in milliseconds since the epoch
	 * @param own tells whether a job falls to this host, not null
	 * @return the records to be appended, empty if there are none
	 */
	public List<KeyedRecord> select(Collection<Job> jobs, long wallMillis, Predicate<JobId> own) {
		long limit = this.retention.plus(MARGIN).toMillis();
		this.tried.values().removeIf((at) -> wallMillis - at > RETRY_MILLIS);
		List<KeyedRecord> records = new ArrayList<>();
		for (Job job : jobs) {
			boolean old = job.isDone() && wallMillis - job.getSubmittedAtMillis() > limit;
			if (old && own.test(job.getId()) && this.tried.putIfAbsent(job.getId(), wallMillis) == null) {
				job.getKeys().forEach((key) -> records.add(KeyedRecord.of(key, null)));
			}
		}
		return records;
	}

}
