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
 * Batch runtime on the platform's log.
 */
final class LogBatchRuntime implements BatchRuntime {

	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration STOP_LIMIT = Duration.ofSeconds(10);

	/** An upload keeps the ids of its items in memory, up to about 20 MB. */
	private static final int MAX_UPLOADS = 8;

	private final BatchRuntimeBuilder settings;

	private final HostId self;

	private final BatchPolicy policy;

	private final PartitionSet partitions;

	private final PartitionRouter router;

	private final LocalWork local;

	private final PeerWorkSource work;

	private final KeyedRequests keyed;

	private final SingleThreadExecutor uploads;

	private final AtomicInteger openUploads = new AtomicInteger();

	private volatile boolean stopping;

	LogBatchRuntime(BatchRuntimeBuilder settings) {
		this.settings = settings;
		this.self = HostId.of(settings.getSettings().getHost());
		this.policy = new BatchPolicy(settings.getConfiguration());
		RankTable ranks = new RankTable();
		this.partitions = new PartitionSet(settings, this.policy, ranks);
		this.router = new PartitionRouter(this.self, settings.getPeers(), settings.getFleet(), this.policy, ranks,
				this.partitions::agent, this.partitions::isOwned, this.partitions::readOwner);
		this.local = new LocalWork(this.partitions::getAgents, this.partitions::getExecutor,
				settings.getOptions().workLease().toMillis());
		this.work = new PeerWorkSource(this.self, this.local, settings.getPeers(), this.router, settings.getTicker());
		this.keyed = new KeyedRequests(this.router, this.partitions.getCache(), this.partitions.getIdentity(),
				settings.getFleet(), settings.getTicker());
		this.uploads = new SingleThreadExecutor("batch-" + this.self + "-uploads");
	}

	@Override
	public Uni<Void> start() {
		PeerTransport peers = this.settings.getPeers();
		peers.handle(PeerFrame.BodyCase.WORK_REQUEST, (from, frame) -> this.local.request(frame.getWorkRequest())
			.map((grant) -> PeerFrame.newBuilder().setWorkGrant(grant).build()));
		peers.handle(PeerFrame.BodyCase.WORK_RESULT, (from, frame) -> this.local.report(frame.getWorkResult())
			.map((ack) -> PeerFrame.newBuilder().setWorkAck(ack).build()));
		peers.handle(PeerFrame.BodyCase.APPEND_REQUEST, (from, frame) -> append(frame.getAppendRequest())
			.map((answer) -> PeerFrame.newBuilder().setAppendResponse(answer).build()));
		this.partitions.start();
		return Uni.createFrom().voidItem();
	}

	@Override
	public Uni<Void> stop() {
		this.stopping = true;
		return this.partitions.stop(STOP_LIMIT).onTermination().invoke(this.uploads::close);
	}

	@Override
	public void kill() {
		this.stopping = true;
		this.partitions.close();
		this.uploads.close();
	}

	@Override
	public JobUpload submit(JobSubmission submission) {
		if (this.stopping) {
			return new RefusedUpload(
					new RefusedException(ErrorCode.STOPPING, "the host is stopping", Readback.RETRY_AFTER));
		}
		if (this.openUploads.incrementAndGet() > MAX_UPLOADS) {
			this.openUploads.decrementAndGet();
			return new RefusedUpload(new RefusedException(ErrorCode.OVERLOADED,
					"at most " + MAX_UPLOADS + " jobs are taken at the same time", Readback.RETRY_AFTER));
		}
		LogJobUpload upload = new LogJobUpload(submission, this.router, this.policy, this.settings.getTicker(),
				this.uploads, UploadLimits.of(this.settings.getLimits()), this.openUploads::decrementAndGet);
		return new RecordedUpload(upload, this.settings.getAccount(), submission.workspace());
	}

	@Override
	public Uni<JobStatus> status(WorkspaceId workspace, BatchId id) {
		return withJob(workspace, id, JobStatuses::of, (job) -> true);
	}

	// The results of a job that had not ended when the log was last read could lack lines
	// that another host already returned, so they are refused instead.
	@Override
	public Multi<byte[]> results(WorkspaceId workspace, BatchId id) {
		return withJob(workspace, id, JobState::snapshot, JobState::isFinished).onItem()
			.transformToMulti((job) -> JobResults.stream(this.settings.getLog(),
					StreamName.of(PartitionRouter.streamOf(id.partition())), job));
	}

	@Override
	public Uni<JobStatus> cancel(WorkspaceId workspace, BatchId id) {
		return withJob(workspace, id, JobStatuses::of, (job) -> true).chain((before) -> {
			if (before.state() != JobStatus.State.IN_PROGRESS) {
				return Uni.createFrom().item(before);
			}
			LogEntry entry = LogEntry.newBuilder()
				.setJobCancelled(JobCancelled.newBuilder().setBatchId(id.toString()).setRequestedBy(workspace.value()))
				.build();
			return this.router.append(id.partition(), List.of(entry), true, APPEND_TIMEOUT)
				.onFailure()
				.transform(Readback::translate)
				.chain(() -> Readback.judge(this.partitions.agent(id.partition()),
						(state) -> read(state, workspace, id, JobStatuses::of)))
				.invoke((after) -> noticeCancel(id, after));
		});
	}

	@Override
	public Uni<KeyedStart> beginKeyed(KeyedRequest request) {
		return this.keyed.begin(request);
	}

	@Override
	public Uni<Void> completeKeyed(KeyedRequest request, KeyedAnswer answer) {
		return this.keyed.complete(request, answer);
	}

	@Override
	public WorkSource workSource() {
		return this.work;
	}

	@Override
	public List<PartitionView> ownedPartitions() {
		return this.partitions.owned();
	}

	@Override
	public void observePartitions(HostId host, List<PartitionView> views) {
		views.forEach((view) -> this.router.learn(view.getPartition(), host));
		this.work.observePending(host, views.stream().mapToInt(PartitionView::getPendingItems).sum());
	}

	@Override
	public long getAppends() {
		return this.partitions.getAppends();
	}

	// During an outage of the log the last known state of a job is used where it is good
	// enough for the caller.
	private <T> Uni<T> withJob(WorkspaceId workspace, BatchId id, Function<JobState, T> reader,
			Predicate<JobState> lastKnownSuffices) {
		if (id.partition() >= this.policy.getPartitions()) {
			return Uni.createFrom().failure(notFound(id));
		}
		PartitionAgent agent = this.partitions.agent(id.partition());
		return agent.catchUp()
			.onFailure(PlatformException.class)
			.recoverWithUni((failure) -> Uni.createFrom()
				.item(agent::getState)
				.runSubscriptionOn(this.partitions.getExecutor(id.partition()))
				.chain((state) -> state.findJob(id.toString()).filter(lastKnownSuffices).isPresent()
						? Uni.createFrom().item(state) : Uni.createFrom().failure(Readback.refused(failure))))
			.map((state) -> read(state, workspace, id, reader));
	}

	private static <T> T read(PartitionState state, WorkspaceId workspace, BatchId id, Function<JobState, T> reader) {
		return state.findJob(id.toString())
			.filter((job) -> job.getAccepted().getWorkspace().equals(workspace.value()))
			.map(reader)
			.orElseThrow(() -> notFound(id));
	}

	private static InvalidRequestException notFound(BatchId id) {
		return new InvalidRequestException(ErrorCode.NOT_FOUND, "there is no job " + id);
	}

	private void noticeCancel(BatchId id, JobStatus after) {
		this.settings.getAccount()
			.record(AccountCode.CANCELLED, "batch", id.toString(), null,
					Map.of("cancelled_items", Integer.toString(after.cancelled())));
		PeerFrame frame = PeerFrame.newBuilder()
			.setCancelNotice(CancelNotice.newBuilder().setBatchId(id.toString()))
			.build();
		this.settings.getFleet()
			.current()
			.hosts()
			.forEach((host) -> this.settings.getPeers().send(host.id(), LinkPurpose.BATCH, frame));
	}

	private Uni<AppendResponse> append(AppendRequest request) {
		int partition = partitionOf(request.getStream());
		if (partition < 0 || partition >= this.policy.getPartitions()
				|| !request.getEntriesList().stream().allMatch(LogBatchRuntime::isForwardable)) {
			return Uni.createFrom()
				.failure(new PeerException(ErrorCode.PEER_MESSAGE_INVALID, "entries cannot be appended for a peer"));
		}
		PartitionAgent agent = this.partitions.getAgents().get(partition);
		if (agent == null || agent.getPublishedView().isEmpty()) {
			return Uni.createFrom().item(answer(AppendStatus.NOT_OWNER, -1));
		}
		return agent.append(request.getEntriesList(), request.getInteractive(), APPEND_TIMEOUT)
			.map((offset) -> answer(AppendStatus.APPENDED, offset))
			.onFailure()
			.recoverWithItem(
					(failure) -> answer((failure instanceof PlatformException platform && !platform.isUnknown())
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

	private static AppendResponse answer(AppendStatus status, long offset) {
		return AppendResponse.newBuilder()
			.setStatus(status)
			.setOffset(offset)
			.setRetryAfterMs(Readback.RETRY_AFTER.toMillis())
			.build();
	}

}
