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
 * One partition on one host: follows its stream while it is needed, claims it when this
 * host should own it, and drops the ownership when a newer claim or a release is read.
 * Confined to its lane except where a method says otherwise.
 */
public final class PartitionAgent {

	private static final EventLogger LOG = EventLogger.of(PartitionAgent.class);

	/** Releases and claims are retried by the next tick rather than waited for. */
	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration DRAIN_POLL = Duration.ofMillis(20);

	private final PartitionContext context;

	private final HostId self;

	private final PartitionFollower follower;

	private final LogWriter writer;

	private final RecordAges ages = new RecordAges();

	private PartitionState state = new PartitionState();

	private PartitionOwner owner;

	private PartitionKeeper keeper;

	private FleetView view = FleetView.EMPTY;

	private long ownerRecordMillis;

	private long lastReadMillis;

	private long outrankedSinceMillis = -1;

	private boolean polling;

	private boolean claiming;

	private volatile boolean claimed;

	private boolean mayClaim;

	private boolean releasing;

	private boolean stopping;

	private boolean outage;

	private volatile PartitionView published;

	private volatile Set<String> waiting = Set.of();

	private volatile HostId knownOwner;

	/**
	 * Creates an agent that has read nothing.
	 * @param context what its parts share, not null
	 */
	public PartitionAgent(PartitionContext context) {
		this.context = context;
		this.self = HostId.of(context.identity().host());
		this.follower = new PartitionFollower(context.stream(), context.log(), context.lane(), context.findSnapshot(),
				new Watcher());
		this.writer = new LogWriter(context.stream(), context.identity(), context.log(), context.lane(),
				context.ticker(), context.pacer(), context.options().writer(), context.random(),
				this.follower::getAppliedOffset);
		this.ownerRecordMillis = context.ticker().millis();
		this.lastReadMillis = this.ownerRecordMillis - context.options().poll().toMillis();
	}

	/**
	 * Reads to the head of the stream; may be called by any thread.
	 * @return the state, given on the lane and to be used there only
	 */
	public Uni<PartitionState> fresh() {
		return this.follower.catchUp();
	}

	/**
	 * Appends entries as this host; may be called by any thread.
	 * @param entries the entries of one record
	 * @param urgent whether a person waits
	 * @param timeout the time until a failure is reported
	 * @return the offset
	 */
	public Uni<Long> append(List<LogEntry> entries, boolean urgent, Duration timeout) {
		return this.writer.append(entries, urgent, timeout, () -> true);
	}

	/**
	 * Returns what the digest of this host tells about the partition; may be called by
	 * any thread.
	 * @return the view, empty while this host does not own the partition
	 */
	public Optional<PartitionView> getPublished() {
		return Optional.ofNullable(this.published);
	}

	/**
	 * Returns the owner as far as the stream was read; may be called by any thread.
	 * @return the host of the last valid claim, empty after a release or without a claim
	 */
	public Optional<HostId> getKnownOwner() {
		return Optional.ofNullable(this.knownOwner);
	}

	/**
	 * Returns the number of append calls; may be called by any thread.
	 * @return at least 0
	 */
	public long getAppends() {
		return this.writer.getAppends();
	}

	/**
	 * Returns whether this host owns the partition.
	 * @return true while the ownership was read back and not lost
	 */
	public boolean isOwner() {
		return this.owner != null && this.owner.isActive();
	}

	/**
	 * Returns whether the agent may be dropped and made again later; may be called by any
	 * thread. One that ever claimed may own the partition without knowing it yet, and one
	 * that ever appended must not start again with the sequence numbers of its writer,
	 * since readers drop a number that they have seen.
	 * @return true if nothing was ever appended or claimed
	 */
	public boolean isEvictable() {
		return !this.claimed && this.writer.getAppends() == 0;
	}

	/**
	 * Returns whether items of a service wait here; may be called by any thread.
	 * @param service the service
	 * @return true if this host owns the partition and could grant one
	 */
	public boolean hasWaiting(String service) {
		return this.waiting.contains(service);
	}

	/**
	 * Returns the state as far as it was read.
	 * @return the state, to be used on the lane only
	 */
	public PartitionState getState() {
		return this.state;
	}

	/**
	 * Grants items.
	 * @param request the wishes of a dispatcher
	 * @return the items, none if this host does not own the partition
	 */
	public Uni<List<WorkItem>> grant(WorkRequest request) {
		return isOwner() ? this.owner.grant(request) : Uni.createFrom().item(List.of());
	}

	/**
	 * Takes reports.
	 * @param reports reports about items of this partition
	 * @param running running grants of this partition
	 * @param ack receives what was accepted or must stop
	 * @return false if this host does not own the partition
	 */
	public boolean report(List<WorkOutcome> reports, List<Long> running, WorkAck.Builder ack) {
		if (!isOwner()) {
			return false;
		}
		this.owner.report(reports, ack);
		running.forEach((grant) -> this.owner.renew(grant, ack));
		publish();
		return true;
	}

	/**
	 * Acts on the time that passed: reads the stream, claims, releases, takes back lapsed
	 * grants and keeps records from expiring.
	 * @param fleet the fleet as this host sees it
	 * @param ranked the hosts by their right to own the partition
	 */
	public void tick(FleetView fleet, List<HostId> ranked) {
		this.view = fleet;
		this.mayClaim = rank(ranked) == 0;
		if (isOwner()) {
			this.owner.tick();
			this.keeper.tick();
			rebalance(ranked);
			publish();
		}
		int rank = rank(ranked);
		// The second host follows too, so that a takeover begins with a current state.
		boolean candidate = rank == 0 || rank == 1;
		long now = this.context.ticker().millis();
		// A claim whose answer was lost may still have taken effect.
		if ((candidate || this.owner != null || this.claimed) && !this.polling
				&& now - this.lastReadMillis >= this.context.options().poll().toMillis()) {
			this.polling = true;
			this.follower.catchUp().subscribe().with((read) -> polled(true), (failure) -> polled(false));
		}
	}

	/**
	 * Releases the partition after its outcomes are durable; stops claiming.
	 * @param limit the time after which the release is given up
	 * @return completes when the release was read back or given up
	 */
	public Uni<Void> stop(Duration limit) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.context.lane().execute(() -> {
			this.stopping = true;
			if (this.owner == null) {
				done.complete(null);
				return;
			}
			this.context.lane().schedule(limit, () -> done.complete(null));
			release(() -> done.complete(null));
		});
		return Uni.createFrom().completionStage(done);
	}

	/**
	 * Stops at once without any record; may be called by any thread.
	 */
	public void close() {
		this.writer.close();
		this.follower.close();
		this.context.lane().execute(this::dropOwner);
	}

	private void polled(boolean read) {
		this.polling = false;
		this.lastReadMillis = this.context.ticker().millis();
		if (read == this.outage) {
			this.outage = !read;
			LOG.log(read ? BatchEvent.LOG_BACK : BatchEvent.LOG_UNAVAILABLE, this.context.partition());
		}
		if (read) {
			takeOver();
		}
		if (read && !this.stopping && this.mayClaim && this.owner == null && !this.claiming && shouldClaim()) {
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
		this.claimed = true;
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
				&& !this.releasing && !this.outage) {
			release(() -> {
			});
		}
	}

	private void release(Runnable done) {
		PartitionOwner released = this.owner;
		if (released == null || !released.isActive()) {
			done.run();
			return;
		}
		this.releasing = true;
		released.drain();
		if (released.getBuffered() > 0) {
			this.context.lane().schedule(DRAIN_POLL, () -> release(done));
			return;
		}
		PartitionRelease release = PartitionRelease.newBuilder()
			.setTerm(released.getTerm())
			.setHost(this.self.value())
			.build();
		this.writer
			.append(List.of(LogEntry.newBuilder().setPartitionRelease(release).build()), true, APPEND_TIMEOUT,
					released::isActive)
			.chain(this.follower::catchUp)
			.subscribe()
			.with((read) -> {
				this.releasing = false;
				done.run();
			}, (failure) -> {
				this.releasing = false;
				if (this.stopping) {
					this.context.lane().schedule(DRAIN_POLL, () -> release(done));
				}
			});
	}

	// Called only when the stream was read to its head, so that a historic claim of this
	// host gives it nothing.
	private void takeOver() {
		boolean mine = this.state.isOwnedBy(this.self.value(), this.context.identity().incarnation(),
				this.state.getTerm());
		if (!mine || this.owner != null || this.stopping) {
			return;
		}
		this.owner = new PartitionOwner(this.context, this.state, this.writer, this.follower);
		this.keeper = new PartitionKeeper(this.context, this.state, this.writer, this.follower, this.owner::isActive,
				this.ages);
		this.outrankedSinceMillis = -1;
		publish();
		int open = this.state.getJobs().stream().mapToInt(JobState::countOpen).sum();
		LOG.log(BatchEvent.TAKEN_OVER, this.context.partition(), this.state.getTerm(), this.state.getJobs().size(),
				open);
		tell(AccountCode.TAKEN_OVER,
				Map.of("term", Long.toString(this.state.getTerm()), "open_items", Integer.toString(open)));
	}

	private void tell(AccountCode code, Map<String, String> figures) {
		this.context.account().record(code, "partition", Integer.toString(this.context.partition()), null, figures);
	}

	private void dropOwner() {
		if (this.owner != null) {
			this.owner.close();
			this.owner = null;
			this.keeper = null;
			this.published = null;
			this.waiting = Set.of();
		}
	}

	private void publish() {
		if (this.owner != null) {
			this.waiting = this.owner.getLedger().servicesWithWaiting();
			this.published = PartitionView.newBuilder()
				.setPartition(this.context.partition())
				.setTerm(this.owner.getTerm())
				.setPendingItems(this.owner.getLedger().countWaiting())
				.setHeadOffset(this.follower.getAppliedOffset())
				.build();
		}
	}

	/**
	 * Follows the changes of the state.
	 */
	private final class Watcher implements ReplayObserver {

		@Override
		public void stateReplaced(PartitionState replaced) {
			PartitionAgent.this.state = replaced;
			PartitionAgent.this.knownOwner = (replaced.isReleased() || replaced.getOwnerHost().isEmpty()) ? null
					: HostId.of(replaced.getOwnerHost());
			dropOwner();
			if (PartitionAgent.this.follower.isLossy()) {
				LOG.log(BatchEvent.HISTORY_LOST, PartitionAgent.this.context.partition(),
						replaced.getAppliedOffset() + 1);
			}
		}

		@Override
		public void recordSeen(long offset, LogRecord entry) {
			PartitionAgent.this.ages.add(offset, entry.getWallTimeMs());
			if (entry.getHost().equals(PartitionAgent.this.state.getOwnerHost())
					&& entry.getIncarnation() == PartitionAgent.this.state.getOwnerIncarnation()) {
				PartitionAgent.this.ownerRecordMillis = PartitionAgent.this.context.ticker().millis();
			}
		}

		@Override
		public void ownerChanged() {
			PartitionState now = PartitionAgent.this.state;
			PartitionAgent.this.knownOwner = now.isReleased() ? null : HostId.of(now.getOwnerHost());
			PartitionOwner before = PartitionAgent.this.owner;
			PartitionAgent.this.ownerRecordMillis = PartitionAgent.this.context.ticker().millis();
			if (before == null || before.isActive()) {
				return;
			}
			dropOwner();
			if (now.isReleased() && now.getTerm() == before.getTerm()) {
				LOG.log(BatchEvent.RELEASED, PartitionAgent.this.context.partition(), before.getTerm());
				tell(AccountCode.HANDED_OVER, Map.of("term", Long.toString(before.getTerm())));
			}
			else {
				LOG.log(BatchEvent.OWNERSHIP_LOST, PartitionAgent.this.context.partition(), before.getTerm(),
						now.getOwnerHost(), now.getTerm());
			}
		}

		@Override
		public void jobAccepted(JobState job) {
			withOwner((ledger) -> ledger.addJob(job));
			publish();
		}

		@Override
		public void itemFinished(JobState job, int index) {
			withOwner((ledger) -> ledger.finishItem(job, index));
		}

		@Override
		public void jobCancelled(JobState job) {
			withOwner((ledger) -> ledger.removeJob(job.getId()));
		}

		@Override
		public void jobExpired(JobState job) {
			withOwner((ledger) -> ledger.removeJob(job.getId()));
		}

		@Override
		public void entryVoid(long offset, String kind, String reason) {
			LOG.log(BatchEvent.ENTRY_VOID, PartitionAgent.this.context.partition(), offset, kind, reason);
		}

		private void withOwner(Consumer<WorkLedger> action) {
			if (isOwner()) {
				action.accept(PartitionAgent.this.owner.getLedger());
			}
		}

	}

}
