package org.wigeonglade.entry.batch;

import java.util.List;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Batch runtime of one host. No method blocks; results arrive on threads of the runtime,
 * never on an event loop of the caller. Thread-safe.
 */
public interface BatchRuntime {

	/**
	 * Starts the description of a runtime.
	 * @param settings the settings of the host, not null
	 * @return a builder, never null
	 */
	static BatchRuntimeBuilder builder(HostSettings settings) {
		return new BatchRuntimeBuilder(settings);
	}

	/**
	 * Starts following and owning partitions.
	 * @return completes when the handlers of peer frames are registered; the first claims
	 * follow in the background
	 */
	Uni<Void> start();

	/**
	 * Releases the owned partitions by log record and stops.
	 * @return completes when the releases are durable or the time for them is over
	 */
	Uni<Void> stop();

	/**
	 * Drops everything without any handover, as a lost host does.
	 */
	void kill();

	/**
	 * Opens the upload of a job.
	 * @param submission the client and its key, not null
	 * @return the upload; its methods report every failure
	 */
	JobUpload submit(JobSubmission submission);

	/**
	 * Returns the state of a job.
	 * @param workspace the workspace of the client, not null
	 * @param id the job, not null
	 * @return the state; fails with {@code NOT_FOUND} also for a job of another workspace
	 */
	Uni<JobStatus> status(WorkspaceId workspace, BatchId id);

	/**
	 * Streams the results of the items that have an outcome, in no particular order.
	 * @param workspace the workspace of the client, not null
	 * @param id the job, not null
	 * @return pieces of JSON Lines, each of whole lines, read from the log on demand
	 */
	Multi<byte[]> results(WorkspaceId workspace, BatchId id);

	/**
	 * Cancels a job.
	 * @param workspace the workspace of the client, not null
	 * @param id the job, not null
	 * @return the state after the cancellation is durable; of a finished job its state
	 */
	Uni<JobStatus> cancel(WorkspaceId workspace, BatchId id);

	/**
	 * Records the intent to run a non-idempotent request with a key.
	 * @param request the request, not null
	 * @return what to do; fails with {@link org.wigeonglade.core.error.ConflictException}
	 * if the key was used with another body, with
	 * {@link org.wigeonglade.core.error.RefusedException} if the log is unavailable and
	 * nothing was recorded, and with {@link org.wigeonglade.core.error.PlatformException}
	 * if that is not known; in all these cases the request must not be run
	 */
	Uni<KeyedStart> beginKeyed(KeyedRequest request);

	/**
	 * Records the answer of a request that {@link #beginKeyed} let run.
	 * @param request the same request, not null
	 * @param answer the answer, not null
	 * @return completes when the answer is durable; fails with
	 * {@link org.wigeonglade.core.error.PlatformException}
	 */
	Uni<Void> completeKeyed(KeyedRequest request, KeyedAnswer answer);

	/**
	 * Returns the source of items for the dispatchers of this host.
	 * @return the source, never null
	 */
	WorkSource workSource();

	/**
	 * Returns the partitions that this host owns, for its digest.
	 * @return a copy, may be empty
	 */
	List<PartitionView> ownedPartitions();

	/**
	 * Takes the owned partitions of another host from its digest.
	 * @param host the sender, not null
	 * @param partitions its owned partitions, not null
	 */
	void observePartitions(HostId host, List<PartitionView> partitions);

	/**
	 * Returns the number of append calls to the log that this runtime made.
	 * @return the number since the start
	 */
	long getAppends();

}
