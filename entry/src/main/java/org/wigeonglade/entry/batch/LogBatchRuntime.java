package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.batch.BatchPolicy;
import org.wigeonglade.core.batch.JobState;
import org.wigeonglade.core.batch.PartitionAgent;
import org.wigeonglade.core.batch.PartitionState;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.schema.generated.log.JobCancelled;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.peer.AppendRequest;
import org.wigeonglade.schema.generated.peer.AppendResponse;
import org.wigeonglade.schema.generated.peer.AppendStatus;
import org.wigeonglade.schema.generated.peer.CancelNotice;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Batch runtime that stores jobs and keyed requests in the log of the platform.
 */
final class LogBatchRuntime implements BatchRuntime {

	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

	/** Bounds the memory: an upload holds the ids of its items, up to about 20 MB. */
	private static final int MAX_UPLOADS = 8;

	private final BatchRuntimeBuilder builder;

	private final HostId self;

	private final BatchPolicy policy;

	private final PartitionSet partitions;

	private final PartitionRouter router;

	private final LocalWorkService localWork;

	private final PeerWorkSource workSource;

	private final KeyedRequestDeduplicator keyedRequests;

	private final SingleThreadExecutor uploadExecutor;

	private final AtomicInteger openUploads = new AtomicInteger();

	private volatile boolean stopping;

	LogBatchRuntime(BatchRuntimeBuilder builder) {
		this.builder = builder;
		this.self = HostId.of(builder.getSettings().getHost());
		this.policy = new BatchPolicy(builder.getConfiguration());
		PartitionRankingCache rankings = new PartitionRankingCache();
		this.partitions = new PartitionSet(builder, this.policy, rankings);
		this.router = new PartitionRouter(this.self, builder.getPeers(), builder.getFleet(), this.policy, rankings,
				this.partitions::agent, this.partitions::isOwned, this.partitions::getLastReadOwner);
		this.localWork = new LocalWorkService(this.partitions::getAgents, this.partitions::executor,
				builder.getOptions().workLease().toMillis());
		this.workSource = new PeerWorkSource(this.self, this.localWork, builder.getPeers(), this.router,
				builder.getTicker());
		this.keyedRequests = new KeyedRequestDeduplicator(this.router, this.partitions.getCache(),
				this.partitions.getIdentity(), builder.getFleet(), builder.getTicker());
		this.uploadExecutor = new SingleThreadExecutor("batch-" + this.self + "-uploads");
	}

	@Override
	public Uni<Void> start() {
		PeerTransport peers = this.builder.getPeers();
		peers.handle(PeerFrame.BodyCase.WORK_REQUEST, (from, frame) -> this.localWork.request(frame.getWorkRequest())
			.map((grant) -> PeerFrame.newBuilder().setWorkGrant(grant).build()));
		peers.handle(PeerFrame.BodyCase.WORK_RESULT, (from, frame) -> this.localWork.report(frame.getWorkResult())
			.map((ack) -> PeerFrame.newBuilder().setWorkAck(ack).build()));
		peers.handle(PeerFrame.BodyCase.APPEND_REQUEST, (from, frame) -> handleAppend(frame.getAppendRequest())
			.map((response) -> PeerFrame.newBuilder().setAppendResponse(response).build()));
		this.partitions.start();
		return Uni.createFrom().voidItem();
	}

	@Override
	public Uni<Void> stop() {
		this.stopping = true;
		return this.partitions.stop(STOP_TIMEOUT).onTermination().invoke(this.uploadExecutor::close);
	}

	@Override
	public void kill() {
		this.stopping = true;
		this.partitions.close();
		this.uploadExecutor.close();
	}

	@Override
	public JobUpload submit(JobSubmission submission) {
		if (this.stopping) {
			return new RefusedUpload(
					new RefusedException(ErrorCode.STOPPING, "the host is stopping", AppendOutcomes.RETRY_AFTER));
		}
		if (this.openUploads.incrementAndGet() > MAX_UPLOADS) {
			this.openUploads.decrementAndGet();
			return new RefusedUpload(new RefusedException(ErrorCode.OVERLOADED,
					"at most " + MAX_UPLOADS + " jobs can be uploaded at the same time", AppendOutcomes.RETRY_AFTER));
		}
		LogJobUpload upload = new LogJobUpload(submission, this.router, this.policy, this.builder.getTicker(),
				this.uploadExecutor, UploadLimits.of(this.builder.getLimits()), this.openUploads::decrementAndGet);
		return new AccountRecordingUpload(upload, this.builder.getAccount(), submission.workspace());
	}

	@Override
	public Uni<JobStatus> status(WorkspaceId workspace, BatchId id) {
		return readJob(workspace, id, JobStatuses::of, (job) -> true);
	}

	// If the log cannot be read, the results of a job that had not ended at the last read
	// are refused: they could lack lines that another host has already returned.
	@Override
	public Multi<byte[]> results(WorkspaceId workspace, BatchId id) {
		return readJob(workspace, id, JobState::snapshot, JobState::isFinished).onItem()
			.transformToMulti((job) -> JobResultReader.stream(this.builder.getLog(),
					StreamName.of(PartitionRouter.streamOf(id.partition())), job));
	}

	@Override
	public Uni<JobStatus> cancel(WorkspaceId workspace, BatchId id) {
		return readJob(workspace, id, JobStatuses::of, (job) -> true).chain((current) -> {
			if (current.state() != JobStatus.State.IN_PROGRESS) {
				return Uni.createFrom().item(current);
			}
			LogEntry entry = LogEntry.newBuilder()
				.setJobCancelled(JobCancelled.newBuilder().setBatchId(id.toString()).setRequestedBy(workspace.value()))
				.build();
			return this.router.append(id.partition(), List.of(entry), true, APPEND_TIMEOUT)
				.onFailure()
				.transform(AppendOutcomes::refusedIfNotAppended)
				.chain(() -> AppendOutcomes.readState(this.partitions.agent(id.partition()),
						(state) -> mapJob(state, workspace, id, JobStatuses::of)))
				.invoke((cancelled) -> announceCancellation(id, cancelled));
		});
	}

	@Override
	public Uni<KeyedRequestDecision> beginKeyed(KeyedRequest request) {
		return this.keyedRequests.begin(request);
	}

	@Override
	public Uni<Void> completeKeyed(KeyedRequest request, KeyedResponse response) {
		return this.keyedRequests.complete(request, response);
	}

	@Override
	public WorkSource workSource() {
		return this.workSource;
	}

	@Override
	public List<PartitionView> ownedPartitions() {
		return this.partitions.getOwnedViews();
	}

	@Override
	public void updatePartitionOwners(HostId host, List<PartitionView> views) {
		views.forEach((view) -> this.router.recordOwner(view.getPartition(), host));
		this.workSource.updateRemotePending(host, views.stream().mapToInt(PartitionView::getPendingItems).sum());
	}

	@Override
	public long getAppends() {
		return this.partitions.getAppends();
	}

	// When the log is unavailable, the state as of the last read is used if it satisfies
	// the predicate.
	private <T> Uni<T> readJob(WorkspaceId workspace, BatchId id, Function<JobState, T> reader,
			Predicate<JobState> lastReadSuffices) {
		if (id.partition() >= this.policy.getPartitions()) {
			return Uni.createFrom().failure(notFound(id));
		}
		PartitionAgent agent = this.partitions.agent(id.partition());
		return agent.catchUp()
			.onFailure(PlatformException.class)
			.recoverWithUni((failure) -> Uni.createFrom()
				.item(agent::getState)
				.runSubscriptionOn(this.partitions.executor(id.partition()))
				.chain((state) -> state.findJob(id.toString()).filter(lastReadSuffices).isPresent()
						? Uni.createFrom().item(state) : Uni.createFrom().failure(AppendOutcomes.refused(failure))))
			.map((state) -> mapJob(state, workspace, id, reader));
	}

	private static <T> T mapJob(PartitionState state, WorkspaceId workspace, BatchId id, Function<JobState, T> reader) {
		return state.findJob(id.toString())
			.filter((job) -> job.getAccepted().getWorkspace().equals(workspace.value()))
			.map(reader)
			.orElseThrow(() -> notFound(id));
	}

	private static InvalidRequestException notFound(BatchId id) {
		return new InvalidRequestException(ErrorCode.NOT_FOUND, "there is no job " + id);
	}

	private void announceCancellation(BatchId id, JobStatus cancelled) {
		this.builder.getAccount()
			.record(AccountCode.CANCELLED, "batch", id.toString(), null,
					Map.of("cancelled_items", Integer.toString(cancelled.cancelled())));
		PeerFrame frame = PeerFrame.newBuilder()
			.setCancelNotice(CancelNotice.newBuilder().setBatchId(id.toString()))
			.build();
		this.builder.getFleet()
			.current()
			.hosts()
			.forEach((host) -> this.builder.getPeers().send(host.id(), LinkPurpose.BATCH, frame));
	}

	private Uni<AppendResponse> handleAppend(AppendRequest request) {
		int partition = partitionOf(request.getStream());
		if (partition < 0 || partition >= this.policy.getPartitions()
				|| !request.getEntriesList().stream().allMatch(LogBatchRuntime::isForwardable)) {
			return Uni.createFrom()
				.failure(new PeerException(ErrorCode.PEER_MESSAGE_INVALID, "entries cannot be appended for a peer"));
		}
		PartitionAgent agent = this.partitions.getAgents().get(partition);
		if (agent == null || agent.getPublishedView().isEmpty()) {
			return Uni.createFrom().item(appendResponse(AppendStatus.NOT_OWNER, -1));
		}
		return agent.append(request.getEntriesList(), request.getInteractive(), APPEND_TIMEOUT)
			.map((offset) -> appendResponse(AppendStatus.APPENDED, offset))
			.onFailure()
			.recoverWithItem(
					(failure) -> appendResponse((failure instanceof PlatformException platform && !platform.isUnknown())
							? AppendStatus.NOT_APPENDED : AppendStatus.APPEND_UNKNOWN, -1));
	}

	private static boolean isForwardable(LogEntry entry) {
		return switch (entry.getKindCase()) {
			case ITEM_CHUNK -> !entry.getItemChunk().getCarried();
			case KEYED_OUTCOME -> !entry.getKeyedOutcome().getCarried();
			case JOB_ACCEPTED, JOB_CANCELLED, KEYED_INTENT -> true;
			default -> false;
		};
	}

	private static int partitionOf(String stream) {
		try {
			return stream.startsWith("jobs-") ? Integer.parseInt(stream.substring("jobs-".length())) : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

	private static AppendResponse appendResponse(AppendStatus status, long offset) {
		return AppendResponse.newBuilder()
			.setStatus(status)
			.setOffset(offset)
			.setRetryAfterMs(AppendOutcomes.RETRY_AFTER.toMillis())
			.build();
	}

}
