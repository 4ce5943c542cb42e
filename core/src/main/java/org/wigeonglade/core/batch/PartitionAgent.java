package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.PartitionClaim;
import org.wigeonglade.schema.generated.log.PartitionRelease;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkRequest;

/**
 * Replica of one partition on one host: replays its stream while this host owns it or
 * ranks first or second for it, claims it when this host should own it, and ends the
 * ownership when a newer claim or a release is read. Confined to the executor of the
 * partition unless a method says otherwise.
 */
public final class PartitionAgent {

	private static final EventLogger LOG = EventLogger.of(PartitionAgent.class);

	/** Short, because a failed claim or release is retried on a later tick. */
	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration DRAIN_POLL = Duration.ofMillis(20);

	private final PartitionContext context;

	private final HostId self;

	private final PartitionFollower follower;

	private final LogWriter writer;

	private final RecordTimeIndex recordTimes = new RecordTimeIndex();

	private PartitionState state = new PartitionState();

	private OwnedPartition owned;

	private PartitionMaintenance maintenance;

	private FleetView view = FleetView.EMPTY;

	private long ownerRecordMillis;

	private long lastReadMillis;

	private long outrankedSinceMillis = -1;

	private boolean polling;

	private boolean claiming;

	private volatile boolean claimAttempted;

	private boolean rankedFirst;

	private boolean releasing;

	private boolean stopping;

	private boolean logUnavailable;

	private volatile PartitionView publishedView;

	private volatile Set<String> waitingServices = Set.of();

	private volatile HostId lastReadOwner;

	/**
	 * Creates an agent that has read nothing.
	 * @param context the partition and the services it uses, not null
	 */
	public PartitionAgent(PartitionContext context) {
		this.context = context;
		this.self = HostId.of(context.identity().host());
		this.follower = new PartitionFollower(context.stream(), context.log(), context.executor(),
				context.findSnapshot(), new StateObserver());
		this.writer = new LogWriter(context.stream(), context.identity(), context.log(), context.executor(),
				context.ticker(), context.pacer(), context.options().writer(), context.random(),
				this.follower::getAppliedOffset);
		this.ownerRecordMillis = context.ticker().millis();
		this.lastReadMillis = this.ownerRecordMillis - context.options().poll().toMillis();
	}

	/**
	 * Reads to the head of the stream; may be called by any thread.
	 * @return the state, emitted on the executor and to be used there only
	 */
	public Uni<PartitionState> catchUp() {
		return this.follower.catchUp();
	}

	/**
	 * Appends entries as this host; may be called by any thread.
	 * @param entries the entries of one record
	 * @param interactive whether a caller is waiting
	 * @param timeout the time after which the call fails
	 * @return the offset of the record
	 */
	public Uni<Long> append(List<LogEntry> entries, boolean interactive, Duration timeout) {
		return this.writer.append(entries, interactive, timeout, () -> true);
	}

	/**
	 * Returns the entry for the partition in the digests of this host; may be called by
	 * any thread.
	 * @return the view, empty while this host does not own the partition
	 */
	public Optional<PartitionView> getPublishedView() {
		return Optional.ofNullable(this.publishedView);
	}

	/**
	 * Returns the owner according to the records read so far; may be called by any
	 * thread.
	 * @return the host of the last valid claim, empty after a release or without a claim
	 */
	public Optional<HostId> getLastReadOwner() {
		return Optional.ofNullable(this.lastReadOwner);
	}

	/**
	 * Returns the number of appends sent, including retries; may be called by any thread.
	 * @return at least 0
	 */
	public long getAppends() {
		return this.writer.getAppends();
	}

	/**
	 * Returns whether this host owns the partition.
	 * @return true from the time its own claim was read until a release or newer claim is
	 * read
	 */
	public boolean isOwner() {
		return this.owned != null && this.owned.isActive();
	}

	/**
	 * Returns whether the agent may be discarded and created again later; may be called
	 * by any thread. After a claim attempt the host may own the partition although the
	 * claim was not read yet. After an append, a new writer would start again at sequence
	 * number 1, and readers would drop its records as duplicates.
	 * @return true if nothing was ever appended or claimed
	 */
	public boolean isEvictable() {
		return !this.claimAttempted && this.writer.getAppends() == 0;
	}

	/**
	 * Returns whether items of a service are waiting to be granted; may be called by any
	 * thread.
	 * @param service the name of the service
	 * @return true if this host owns the partition and such an item was waiting at the
	 * last update
	 */
	public boolean hasWaiting(String service) {
		return this.waitingServices.contains(service);
	}

	/**
	 * Returns the state after the records read so far.
	 * @return the state, to be used on the executor only
	 */
	public PartitionState getState() {
		return this.state;
	}

	/**
	 * Grants items to a dispatcher.
	 * @param request the service and the number of items
	 * @return the granted items, none if this host does not own the partition
	 */
	public Uni<List<WorkItem>> grant(WorkRequest request) {
		return isOwner() ? this.owned.grant(request) : Uni.createFrom().item(List.of());
	}

	/**
	 * Processes reports about items and renews the leases of running grants.
	 * @param reports the reports about items of this partition
	 * @param running the identifiers of running grants of this partition
	 * @param ack receives the accepted and the revoked grants
	 * @return false if this host does not own the partition
	 */
	public boolean report(List<WorkOutcome> reports, List<Long> running, WorkAck.Builder ack) {
		if (!isOwner()) {
			return false;
		}
		this.owned.report(reports, ack);
		running.forEach((grant) -> this.owned.renew(grant, ack));
		publish();
		return true;
	}

	/**
	 * Runs the periodic work: reads the stream, claims or releases the partition, expires
	 * leases and appends records again before they expire.
	 * @param fleet the membership view of this host
	 * @param ranked the hosts in order of preference as owners of the partition
	 */
	public void tick(FleetView fleet, List<HostId> ranked) {
		this.view = fleet;
		this.rankedFirst = rank(ranked) == 0;
		if (isOwner()) {
			this.owned.tick();
			this.maintenance.tick();
			rebalance(ranked);
			publish();
		}
		int rank = rank(ranked);
		// The host that ranks second replays the stream too, so that a takeover starts
		// from a current state.
		boolean candidate = rank == 0 || rank == 1;
		long now = this.context.ticker().millis();
		// A claim may take effect although its append failed or timed out.
		if ((candidate || this.owned != null || this.claimAttempted) && !this.polling
				&& now - this.lastReadMillis >= this.context.options().poll().toMillis()) {
			this.polling = true;
			this.follower.catchUp().subscribe().with((read) -> handlePoll(true), (failure) -> handlePoll(false));
		}
	}

	/**
	 * Stops claiming, and releases the partition once its outcomes are durable.
	 * @param limit the time after which the result completes without the release
	 * @return completes when the release was read back or the limit passed
	 */
	public Uni<Void> stop(Duration limit) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.context.executor().execute(() -> {
			this.stopping = true;
			if (this.owned == null) {
				done.complete(null);
				return;
			}
			this.context.executor().schedule(limit, () -> done.complete(null));
			release(() -> done.complete(null));
		});
		return Uni.createFrom().completionStage(done);
	}

	/**
	 * Stops at once without a release record; may be called by any thread.
	 */
	public void close() {
		this.writer.close();
		this.follower.close();
		this.context.executor().execute(this::dropOwnership);
	}

	private void handlePoll(boolean succeeded) {
		this.polling = false;
		this.lastReadMillis = this.context.ticker().millis();
		if (succeeded == this.logUnavailable) {
			this.logUnavailable = !succeeded;
			LOG.log(succeeded ? BatchEvent.LOG_AVAILABLE : BatchEvent.LOG_UNAVAILABLE, this.context.partition());
		}
		if (succeeded) {
			takeOver();
		}
		if (succeeded && !this.stopping && this.rankedFirst && this.owned == null && !this.claiming && shouldClaim()) {
			claim();
		}
	}

	private int rank(List<HostId> ranked) {
		return ranked.indexOf(this.self);
	}

	private boolean shouldClaim() {
		return OwnershipPolicy.shouldClaim(this.context.partition(), this.self, this.view, this.state,
				this.ownerRecordMillis, this.context.ticker().millis(), this.context.options().lease());
	}

	private void claim() {
		this.claiming = true;
		this.claimAttempted = true;
		PartitionClaim claim = PartitionClaim.newBuilder()
			.setTerm(Math.max(0, this.state.getTerm()) + 1)
			.setHost(this.self.value())
			.setIncarnation(this.context.identity().incarnation())
			.build();
		long expected = this.state.getTerm();
		this.writer
			.append(List.of(LogEntry.newBuilder().setPartitionClaim(claim).build()), true, APPEND_TIMEOUT,
					() -> this.state.getTerm() == expected && !this.stopping)
			.chain(this.follower::catchUp)
			.subscribe()
			.with((read) -> {
				this.claiming = false;
				takeOver();
			}, (failure) -> this.claiming = false);
	}

	private void rebalance(List<HostId> ranked) {
		long now = this.context.ticker().millis();
		if (ranked.isEmpty() || ranked.get(0).equals(this.self)) {
			this.outrankedSinceMillis = -1;
		}
		else if (this.outrankedSinceMillis < 0) {
			this.outrankedSinceMillis = now;
		}
		else if (now - this.outrankedSinceMillis >= this.context.options().rebalanceAfter().toMillis()
				&& !this.releasing && !this.logUnavailable) {
			release(() -> {
			});
		}
	}

	private void release(Runnable done) {
		OwnedPartition current = this.owned;
		if (current == null || !current.isActive()) {
			done.run();
			return;
		}
		this.releasing = true;
		current.drain();
		if (current.getBufferedOutcomes() > 0) {
			this.context.executor().schedule(DRAIN_POLL, () -> release(done));
			return;
		}
		PartitionRelease release = PartitionRelease.newBuilder()
			.setTerm(current.getTerm())
			.setHost(this.self.value())
			.build();
		this.writer
			.append(List.of(LogEntry.newBuilder().setPartitionRelease(release).build()), true, APPEND_TIMEOUT,
					current::isActive)
			.chain(this.follower::catchUp)
			.subscribe()
			.with((read) -> {
				this.releasing = false;
				done.run();
			}, (failure) -> {
				this.releasing = false;
				if (this.stopping) {
					this.context.executor().schedule(DRAIN_POLL, () -> release(done));
				}
			});
	}

	// Called only after a read up to the head of the stream: during replay, an old claim
	// of this host may not be acted on.
	private void takeOver() {
		boolean ownedBySelf = this.state.isOwnedBy(this.self.value(), this.context.identity().incarnation(),
				this.state.getTerm());
		if (!ownedBySelf || this.owned != null || this.stopping) {
			return;
		}
		this.owned = new OwnedPartition(this.context, this.state, this.writer, this.follower);
		this.maintenance = new PartitionMaintenance(this.context, this.state, this.writer, this.follower,
				this.owned::isActive, this.recordTimes);
		this.outrankedSinceMillis = -1;
		publish();
		int openItems = this.state.getJobs().stream().mapToInt(JobState::countOpen).sum();
		LOG.log(BatchEvent.TAKEN_OVER, this.context.partition(), this.state.getTerm(), this.state.getJobs().size(),
				openItems);
		recordDecision(AccountCode.TAKEN_OVER,
				Map.of("term", Long.toString(this.state.getTerm()), "open_items", Integer.toString(openItems)));
	}

	private void recordDecision(AccountCode code, Map<String, String> figures) {
		this.context.account().record(code, "partition", Integer.toString(this.context.partition()), null, figures);
	}

	private void dropOwnership() {
		if (this.owned != null) {
			this.owned.close();
			this.owned = null;
			this.maintenance = null;
			this.publishedView = null;
			this.waitingServices = Set.of();
		}
	}

	private void publish() {
		if (this.owned != null) {
			this.waitingServices = this.owned.getScheduler().servicesWithWaiting();
			this.publishedView = PartitionView.newBuilder()
				.setPartition(this.context.partition())
				.setTerm(this.owned.getTerm())
				.setPendingItems(this.owned.getScheduler().countWaiting())
				.setHeadOffset(this.follower.getAppliedOffset())
				.build();
		}
	}

	/**
	 * Applies replayed changes to the ownership and the scheduler of this host.
	 */
	private final class StateObserver implements ReplayObserver {

		@Override
		public void stateReplaced(PartitionState replaced) {
			PartitionAgent.this.state = replaced;
			PartitionAgent.this.lastReadOwner = (replaced.isReleased() || replaced.getOwnerHost().isEmpty()) ? null
					: HostId.of(replaced.getOwnerHost());
			dropOwnership();
			if (PartitionAgent.this.follower.isHistoryLost()) {
				LOG.log(BatchEvent.HISTORY_LOST, PartitionAgent.this.context.partition(),
						replaced.getAppliedOffset() + 1);
			}
		}

		@Override
		public void recordSeen(long offset, LogRecord entry) {
			PartitionAgent.this.recordTimes.add(offset, entry.getWallTimeMs());
			if (entry.getHost().equals(PartitionAgent.this.state.getOwnerHost())
					&& entry.getIncarnation() == PartitionAgent.this.state.getOwnerIncarnation()) {
				PartitionAgent.this.ownerRecordMillis = PartitionAgent.this.context.ticker().millis();
			}
		}

		@Override
		public void ownerChanged() {
			PartitionState current = PartitionAgent.this.state;
			PartitionAgent.this.lastReadOwner = current.isReleased() ? null : HostId.of(current.getOwnerHost());
			OwnedPartition previous = PartitionAgent.this.owned;
			PartitionAgent.this.ownerRecordMillis = PartitionAgent.this.context.ticker().millis();
			if (previous == null || previous.isActive()) {
				return;
			}
			dropOwnership();
			if (current.isReleased() && current.getTerm() == previous.getTerm()) {
				LOG.log(BatchEvent.RELEASED, PartitionAgent.this.context.partition(), previous.getTerm());
				recordDecision(AccountCode.HANDED_OVER, Map.of("term", Long.toString(previous.getTerm())));
			}
			else {
				LOG.log(BatchEvent.OWNERSHIP_LOST, PartitionAgent.this.context.partition(), previous.getTerm(),
						current.getOwnerHost(), current.getTerm());
			}
		}

		@Override
		public void jobAccepted(JobState job) {
			ifOwner((scheduler) -> scheduler.addJob(job));
			publish();
		}

		@Override
		public void itemFinished(JobState job, int index) {
			ifOwner((scheduler) -> scheduler.finishItem(job, index));
		}

		@Override
		public void jobCancelled(JobState job) {
			ifOwner((scheduler) -> scheduler.removeJob(job.getId()));
		}

		@Override
		public void jobExpired(JobState job) {
			ifOwner((scheduler) -> scheduler.removeJob(job.getId()));
		}

		@Override
		public void entryIgnored(long offset, String kind, String reason) {
			LOG.log(BatchEvent.ENTRY_IGNORED, PartitionAgent.this.context.partition(), offset, kind, reason);
		}

		private void ifOwner(Consumer<GrantScheduler> action) {
			if (isOwner()) {
				action.accept(PartitionAgent.this.owned.getScheduler());
			}
		}

	}

}
