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
 * Batch jobs and idempotency keys of one host, kept in the partitions of a shared log. No
 * method blocks; results are delivered on threads of the runtime, never on an event loop
 * of the calling code. Thread-safe.
 */
public interface BatchRuntime {

	/**
	 * Returns a new builder.
	 * @param settings the settings of the host, not null
	 * @return a builder that still needs the log, the peers, the fleet and the
	 * configuration
	 */
	static BatchRuntimeBuilder builder(HostSettings settings) {
		return new BatchRuntimeBuilder(settings);
	}

	/**
	 * Registers the handlers of peer messages and starts to follow and claim partitions.
	 * @return completes when the handlers are registered; the first claims are made in
	 * the background
	 */
	Uni<Void> start();

	/**
	 * Appends a release record for each owned partition and stops.
	 * @return completes when the releases are durable or their time-out has passed
	 */
	Uni<Void> stop();

	/**
	 * Stops at once without releasing partitions, which has the effect of a crash of the
	 * host.
	 */
	void kill();

	/**
	 * Opens the upload of a job.
	 * @param submission the workspace and idempotency key of the client, not null
	 * @return the upload; a refusal is reported by its methods
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
	 * @return the state after the cancellation is durable, or the unchanged state of a
	 * job that had already ended
	 */
	Uni<JobStatus> cancel(WorkspaceId workspace, BatchId id);

	/**
	 * Records the intent to run a non-idempotent request with an idempotency key.
	 * @param request the request, not null
	 * @return how to proceed; fails with
	 * {@link org.wigeonglade.core.error.ConflictException} if the key was used with
	 * another body, with {@link org.wigeonglade.core.error.RefusedException} if the log
	 * is unavailable and the intent was not recorded, and with
	 * {@link org.wigeonglade.core.error.PlatformException} if the intent may have been
	 * recorded; after each of these failures the request must not be run
	 */
	Uni<KeyedRequestDecision> beginKeyed(KeyedRequest request);

	/**
	 * Records the response to a request for which {@link #beginKeyed} returned
	 * {@link KeyedRequestDecision.Run}.
	 * @param request the same request, not null
	 * @param response the response, not null
	 * @return completes when the response is durable; fails with
	 * {@link org.wigeonglade.core.error.PlatformException}
	 */
	Uni<Void> completeKeyed(KeyedRequest request, KeyedResponse response);

	/**
	 * Returns the source of batch items for the dispatchers of this host.
	 * @return the source, which covers the partitions of all hosts
	 */
	WorkSource workSource();

	/**
	 * Returns the partitions that this host owns, as its gossip digest lists them.
	 * @return a copy, may be empty
	 */
	List<PartitionView> ownedPartitions();

	/**
	 * Updates the known owners of partitions and the number of pending items by host.
	 * @param host the host, not null
	 * @param partitions the partitions that it owns according to the gossip digests, not
	 * null, may be empty
	 */
	void updatePartitionOwners(HostId host, List<PartitionView> partitions);

	/**
	 * Returns how often this runtime called the log to append.
	 * @return the number of calls since the runtime was created
	 */
	long getAppends();

}
