package org.wigeonglade.entry.batch;

import org.wigeonglade.core.batch.ItemState;
import org.wigeonglade.core.batch.JobState;
import org.wigeonglade.core.id.BatchId;

/**
 * Converts the replayed state of a job to its status.
 */
final class JobStatuses {

	private JobStatuses() {
	}

	static JobStatus of(JobState job) {
		JobStatus.State state = JobStatus.State.IN_PROGRESS;
		if (job.isCancelled()) {
			state = JobStatus.State.CANCELLED;
		}
		else if (job.isFinished()) {
			state = JobStatus.State.COMPLETED;
		}
		return new JobStatus(BatchId.parse(job.getId()), job.getAccepted().getService(), state, job.size(),
				job.count(ItemState.COMPLETED), job.count(ItemState.FAILED), job.count(ItemState.CANCELLED),
				job.count(ItemState.UNKNOWN), job.getAccepted().getAcceptedWallTimeMs(),
				job.getAccepted().getDueWallTimeMs());
	}

}
