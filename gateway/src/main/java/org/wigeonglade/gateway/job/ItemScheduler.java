package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.IdleSlotAllocator;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.runner.ConnectionUse;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.runner.RunnerResponseHead;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.RecordWriter;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Scheduler of batch items: runs the items that this host owns on idle runner slots in
 * {@link ItemOrder} and preempts them when online requests need the slots. Each host
 * computes the owner of an item from the same jobs and the same live hosts. While the
 * views of hosts differ, an item may run twice; the first result in the stream counts.
 * Confined to the event loop.
 */
public final class ItemScheduler implements ItemRun.Listener {

	private static final EventLogger LOG = EventLogger.of(ItemScheduler.class);

	/** Interval between steps in milliseconds. */
	private static final long STEP_INTERVAL_MILLIS = 25;

	/** Interval between steps in a large fleet in milliseconds. */
	private static final long LARGE_FLEET_STEP_INTERVAL_MILLIS = 50;

	/** Interval between steps in milliseconds while there are no open jobs. */
	private static final long IDLE_STEP_INTERVAL_MILLIS = 100;

	/** Delay in milliseconds before an item is run again after an error response. */
	private static final long RETRY_DELAY_MILLIS = 300;

	/**
	 * Minimum length in milliseconds of a round of {@link IdleSlotAllocator}: load
	 * reports about the items started in one round must reach the other hosts before the
	 * next.
	 */
	private static final long MIN_ROUND_MILLIS = 40;

	/**
	 * Length of a round in milliseconds per live host, since reports take longer to reach
	 * more hosts.
	 */
	private static final long ROUND_MILLIS_PER_HOST = 1;

	/**
	 * Time in milliseconds for which no item is started on a runner after a preemption:
	 * until the load report of the host whose request takes the slot arrives, the slot
	 * looks idle to this host.
	 */
	private static final long PREEMPTED_PAUSE_MILLIS = 60;

	/**
	 * Time in milliseconds that this host must have had the current state of jobs before
	 * it starts items. Hosts that obtain that state at the same moment, as after a
	 * restart of all hosts or an outage of the store, announce it to each other within
	 * this time.
	 */
	private static final long OWNERSHIP_DELAY_MILLIS = 400;

	/**
	 * Time that must be left until an item is due for a host that cannot read the store
	 * to keep it, in multiples of the run time of an item: it may be run anew by another
	 * host if the store stays away.
	 */
	private static final int STALE_CLAIM_RUNS = 2;

	/** Time limit of a run on routes without a retention. */
	private static final Duration DEFAULT_RUN_LIMIT = Duration.ofSeconds(60);

	private final HostId self;

	private final JobTable jobTable;

	private final PeerTable peers;

	private final Fleet fleet;

	private final PlacementPolicy policy;

	private final EventLoop loop;

	private final Ticker ticker;

	private final RecordWriter writer;

	private final String writerKey;

	private final IdleSlotAllocator idleSlotAllocator;

	private final ItemOrder order = new ItemOrder();

	private final Map<ItemKey, ItemRun> runs = new HashMap<>();

	private final Map<ItemKey, ItemOutcome> pendingOutcomes = new HashMap<>();

	private final Map<RunnerId, Long> pausedUntil = new HashMap<>();

	private final ItemOwnership ownership;

	private final FailureCounter failures;

	private final StreamFollower configuration;

	private final GiveUpConfirmation giveUps = new GiveUpConfirmation();

	private final OutputClaims peerClaims = new OutputClaims();

	private final AvoidedSlotMonitor avoidedSlots = new AvoidedSlotMonitor();

	private final Map<JobId, Set<ItemId>> heldItems = new HashMap<>();

	private List<OutputClaims.Claim> claims = List.of();

	private long caughtUpSinceMillis = -1;

	private boolean caughtUp;

	private Runnable failureListener = () -> {
	};

	private Runnable assignmentListener = () -> {
	};

	private long runUntilMillis = Long.MAX_VALUE;

	private long appendAttempts;

	private boolean stopping;

	private int waitingCount;

	private boolean idle;

	private ItemScheduler(HostId self, long incarnation, JobTable jobTable, PeerTable peers, Fleet fleet,
			PlacementPolicy policy, EventLoop loop, Ticker ticker, RecordWriter writer, StreamFollower configuration) {
		this.self = self;
		this.jobTable = jobTable;
		this.peers = peers;
		this.fleet = fleet;
		this.policy = policy;
		this.loop = loop;
		this.ticker = ticker;
		this.writer = writer;
		this.configuration = configuration;
		this.writerKey = self + "." + incarnation;
		this.failures = new FailureCounter(this.writerKey);
		this.idleSlotAllocator = new IdleSlotAllocator(self);
		this.ownership = new ItemOwnership(self, peers);
	}

	/**
	 * Creates a scheduler.
	 * @param self this host, not null
	 * @param incarnation the incarnation number of this host, which rises with each start
	 * @param jobTable the state of jobs, not null
	 * @param peers the other hosts, not null
	 * @param fleet the runners, not null
	 * @param policy chooses the runner of an item, not null
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 * @param writer appends results to the stream, not null
	 * @param configuration reads the configuration, not null
	 * @return a scheduler, never null
	 */
	public static ItemScheduler of(HostId self, long incarnation, JobTable jobTable, PeerTable peers, Fleet fleet,
			PlacementPolicy policy, EventLoop loop, Ticker ticker, RecordWriter writer, StreamFollower configuration) {
		return new ItemScheduler(self, incarnation, jobTable, peers, fleet, policy, loop, ticker, writer,
				configuration);
	}

	/**
	 * Performs one scheduling step: discards runs that are no longer needed on this host,
	 * gives up items that reached a limit, and starts waiting items on idle slots. A host
	 * that lags starts none, since their jobs may have been ended.
	 * @param settled whether this host has run long enough to have found the other hosts
	 * @param caughtUp whether this host has the current state of jobs
	 * @param lagging whether this host reads the store, but not fast enough to have the
	 * current state
	 */
	public void step(boolean settled, boolean caughtUp, boolean lagging) {
		this.idle = false;
		boolean changed = this.caughtUp != caughtUp;
		this.caughtUp = caughtUp;
		this.ownership.setSelfCaughtUp(caughtUp);
		discardObsoleteRuns();
		if (this.stopping) {
			releaseUnfinishable((run) -> !run.isRunning());
		}
		if (updateClaims() || changed) {
			this.assignmentListener.run();
		}
		long now = this.ticker.millis();
		this.caughtUpSinceMillis = !caughtUp ? -1 : (this.caughtUpSinceMillis < 0) ? now : this.caughtUpSinceMillis;
		boolean ownershipUnsettled = caughtUp && now - this.caughtUpSinceMillis < OWNERSHIP_DELAY_MILLIS;
		if (!settled || ownershipUnsettled || lagging || this.fleet.getRoutingTable() == null) {
			return;
		}
		List<WaitingItem> waiting = findWaitingItems();
		Set<HostId> contenders = waiting.isEmpty() ? Set.of() : findContenders();
		FullDemands full = new FullDemands();
		Map<ServiceName, List<Candidate>> accepting = new HashMap<>();
		int remaining = waiting.size();
		for (WaitingItem next : waiting) {
			ServiceName service = next.route.chooseService(next.item.id().value());
			ItemDemand demand = demandOf(next.key, service, accepting);
			long tokens = this.fleet.getMemoryPolicy().getSize(service, next.item.tokens());
			if (giveUpIfLimitReached(next, service)
					|| (!full.contains(demand, tokens) && start(next, demand, contenders))) {
				remaining--;
			}
			else {
				full.add(demand, tokens);
			}
		}
		this.waitingCount = remaining;
		this.avoidedSlots.endStep(remaining, now);
		this.idle = this.runs.isEmpty() && this.pendingOutcomes.isEmpty()
				&& this.jobTable.getJobs().stream().allMatch(Job::isDone);
	}

	/**
	 * Returns the time until the next step is due. It is longer without open jobs, and in
	 * a large fleet, where idle slots are allocated in longer rounds.
	 * @return the time in milliseconds
	 */
	public long getStepIntervalMillis() {
		if (this.idle) {
			return IDLE_STEP_INTERVAL_MILLIS;
		}
		return this.peers.isLargeFleet() ? LARGE_FLEET_STEP_INTERVAL_MILLIS : STEP_INTERVAL_MILLIS;
	}

	/**
	 * Returns the number of items that wait for a slot.
	 * @return the number after the last step
	 */
	public int getWaitingCount() {
		return this.waitingCount;
	}

	/**
	 * Removes the records of jobs whose retention is over.
	 * @param retention selects the records, not null
	 */
	public void removeExpiredJobs(JobRetention retention) {
		List<KeyedRecord> records = retention.selectExpired(this.jobTable.getJobs(), this.ticker.wallMillis(),
				(job) -> this.ownership.isOwner(job.value()));
		if (!records.isEmpty()) {
			LOG.log(GatewayEvent.EXPIRED_JOBS_REMOVED, records.size());
			records.forEach((record) -> this.writer.add(() -> record));
		}
	}

	/**
	 * Preempts items of this host on a runner, the least urgent ones first. Their output
	 * so far is kept.
	 * @param runner the runner, not null
	 * @param slots the maximum number of items to preempt
	 * @return the number of items that were preempted
	 */
	public int preempt(RunnerId runner, int slots) {
		List<ItemRun> victims = this.runs.values()
			.stream()
			.filter((run) -> run.isRunning() && run.getRunner().id().equals(runner))
			.sorted(Comparator.comparing(this::entryOf, this.order.startOrder(this.ticker.wallMillis()).reversed()))
			.limit(slots)
			.toList();
		for (ItemRun victim : victims) {
			LOG.log(GatewayEvent.ITEM_PREEMPTED, victim.getJob().getId(), victim.getItem().id(), runner,
					lastEvent(victim));
			victim.cancel();
		}
		this.pausedUntil.put(runner, this.ticker.millis() + PREEMPTED_PAUSE_MILLIS);
		return victims.size();
	}

	/**
	 * Sets the listener that is called after each failed run on this host, so that the
	 * new count can be sent to the other hosts.
	 * @param listener the listener, not null; it runs on the event loop
	 */
	public void onFailure(Runnable listener) {
		this.failureListener = listener;
	}

	/**
	 * Returns the failed runs on this host of items without a result.
	 * @return the counts by item, never null
	 */
	public List<FailureCounter.Count> getFailures() {
		return this.failures.getLocal();
	}

	/**
	 * Records the failed runs that another host reports.
	 * @param host the name and incarnation of the other host, not null
	 * @param job the job, not null
	 * @param item the item, not null
	 * @param count the number of failed runs on that host
	 */
	public void recordRemoteFailures(String host, JobId job, ItemId item, int count) {
		this.failures.recordRemote(host, new ItemKey(job, item), count);
	}

	/**
	 * Sets the listener that is called after a step that has changed which items have a
	 * {@link #getClaims() claim} or whether this host {@link #isCaughtUp() is caught up},
	 * so that the other hosts can be told at once.
	 * @param listener the listener, not null; it runs on the event loop
	 */
	public void onAssignmentChanged(Runnable listener) {
		this.assignmentListener = listener;
	}

	/**
	 * Returns the output of items that this host continues although another host may
	 * consider itself their owner.
	 * @return the claims of the last step, never null
	 */
	public List<OutputClaims.Claim> getClaims() {
		return this.claims;
	}

	/**
	 * Replaces the claims of another host.
	 * @param host the other host, not null
	 * @param reported all its claims, not null
	 */
	public void recordClaims(HostId host, List<OutputClaims.Claim> reported) {
		this.peerClaims.replace(host, reported, this.ticker.millis());
	}

	/**
	 * Returns whether this host had the current state of jobs in the last step. The other
	 * hosts take over its items, other than its {@link #getClaims() claims}, otherwise.
	 * @return true if it had
	 */
	public boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Prevents items without output from being started. Items with output are continued
	 * if they are expected to be complete in time; the others are left to other hosts.
	 * @param untilMillis the monotonic time at which all runs are cancelled, in
	 * milliseconds
	 */
	public void stop(long untilMillis) {
		this.stopping = true;
		this.runUntilMillis = untilMillis;
		releaseUnfinishable((run) -> true);
		updateClaims();
	}

	/**
	 * Cancels all runs and discards their output. Must be called last.
	 */
	public void cancelAll() {
		this.stopping = true;
		this.runUntilMillis = Long.MIN_VALUE;
		this.runs.values().stream().filter(ItemRun::isRunning).forEach((run) -> cancel(run, "the host stops"));
		this.runs.clear();
		updateClaims();
	}

	/**
	 * Returns the number of items that this host still has to run while it stops.
	 * @return the number of items with output that wait for a slot or run
	 */
	public int getUnfinishedCount() {
		return (int) this.runs.values().stream().filter((run) -> run.isRunning() || mayContinue(run)).count();
	}

	/**
	 * Returns the number of runs in progress.
	 * @return the number
	 */
	public int getRunningCount() {
		return (int) this.runs.values().stream().filter(ItemRun::isRunning).count();
	}

	@Override
	public void completed(ItemRun run, RunnerEntry runner) {
		this.fleet.recordSuccess(runner);
		if (run.getEvents() > 0) {
			this.order.recordCompletion(run.getEvents(), run.getRunMillis());
		}
		finish(run, new ItemOutcome(run.getItem().id(), true, run.getOutput()), "", runner);
	}

	@Override
	public void errorResponseReceived(ItemRun run, RunnerEntry runner, RunnerResponseHead head) {
		boolean executed = !head.notRun() && !head.wrongRunner();
		ItemKey key = keyOf(run);
		if (executed && head.status() == 500) {
			this.failures.add(key);
			this.failureListener.run();
		}
		int failed = this.failures.getTotal(key);
		ConnectionUse use = run.getConnectionUse();
		LOG.log(GatewayEvent.ITEM_FAILED, run.getJob().getId(), run.getItem().id(), runner.id(),
				"status " + head.status(), failed, lastEvent(run), use.connection(), use.exchange(), use.skipped());
		if (head.wrongRunner()) {
			this.fleet.recordFailure(runner, "WRONG_RUNNER");
		}
		if (executed && ItemRetryPolicy.isPermanent(head.status())) {
			giveUp(run.getJob(), run.getItem(), "the runner can never do it");
		}
		else {
			run.delayUntil(this.ticker.millis() + RETRY_DELAY_MILLIS);
		}
	}

	@Override
	public void aborted(ItemRun run, RunnerEntry runner, RunnerFailure failure) {
		ConnectionUse use = run.getConnectionUse();
		LOG.log(GatewayEvent.ITEM_FAILED, run.getJob().getId(), run.getItem().id(), runner.id(),
				failure.kind() + ": " + failure.reason(), this.failures.getTotal(keyOf(run)), lastEvent(run),
				use.connection(), use.exchange(), use.skipped());
		switch (failure.kind()) {
			case UNREACHABLE, BROKEN, MALFORMED, SILENT -> this.fleet.recordFailure(runner, failure.kind().name());
			case STALE_CONNECTION, DESYNCHRONIZED, NO_CONNECTION, RESTARTED, UNIDENTIFIED -> {
				// The runner itself is sound.
			}
		}
	}

	private boolean start(WaitingItem waiting, ItemDemand demand, Set<HostId> contenders) {
		long wallMillis = this.ticker.wallMillis();
		Duration age = Duration.ofMillis(wallMillis - waiting.job.getSubmittedAtMillis());
		Route route = waiting.route;
		long now = this.ticker.millis();
		this.pausedUntil.values().removeIf((until) -> until <= now);
		List<Candidate> candidates = this.fleet.getMemoryPolicy()
			.selectFitting(this.fleet.candidates(demand.service(), this.pausedUntil.keySet()), waiting.item.tokens(),
					true);
		Predicate<Candidate> slotAllocator = (candidate) -> tryAllocateSlot(candidate, contenders);
		Optional<RunnerEntry> runner = this.policy.placeBatch(demand.selectFitting(candidates), slotAllocator);
		if (runner.isEmpty() && demand.mayBeginAnew() && !this.stopping) {
			runner = this.policy.placeBatch(candidates, slotAllocator);
			runner.ifPresent((r) -> discardOutput(waiting.key));
		}
		if (runner.isEmpty()) {
			this.avoidedSlots.recordWaiting(demand.service(), demand.selectFitting(candidates));
			return false;
		}
		ItemRun run = this.runs.computeIfAbsent(waiting.key, (k) -> new ItemRun(waiting.job, waiting.item, this));
		Duration remaining = route.getRetention().isZero() ? DEFAULT_RUN_LIMIT : route.getRetention().minus(age);
		LOG.log(GatewayEvent.ITEM_STARTED, waiting.job.getId(), waiting.item.id(), runner.get().id(),
				runner.get().startedMillis(), runner.get().version(), lastEvent(run), run.getAttempts() + 1,
				waiting.entry.dueMillis() - wallMillis,
				this.fleet.getLoadTracker().getLoad(runner.get().id()).getTotal());
		run.start(this.fleet, this.loop, this.ticker, runner.get(), remaining);
		return true;
	}

	private ItemDemand demandOf(ItemKey key, ServiceName service, Map<ServiceName, List<Candidate>> accepting) {
		ItemRun run = this.runs.get(key);
		if (run == null || run.getEvents() == 0) {
			return ItemDemand.ofNewItem(service);
		}
		run.resolveBinding(this.fleet);
		return ItemDemand.ofResumedItem(service, run.getBinding(),
				accepting.computeIfAbsent(service, (s) -> this.fleet.candidates(s, Set.of())),
				Duration.ofMillis(this.ticker.millis() - run.getEndedMillis()), Duration.ofMillis(run.getRunMillis()));
	}

	private void discardOutput(ItemKey key) {
		ItemRun run = this.runs.get(key);
		LOG.log(GatewayEvent.ITEM_OUTPUT_DISCARDED, key.job(), key.item(), run.getBinding(), lastEvent(run));
		run.discardOutput();
	}

	// Returns whether the item must not run; it is given up once that is confirmed.
	private boolean giveUpIfLimitReached(WaitingItem waiting, ServiceName service) {
		Duration age = Duration.ofMillis(this.ticker.wallMillis() - waiting.job.getSubmittedAtMillis());
		Optional<String> limit = ItemRetryPolicy.giveUpAtAge(age, waiting.route.getRetention())
			.or(() -> ItemRetryPolicy.giveUpAfter(this.failures.getTotal(waiting.key), waiting.route.getMaxAttempts()))
			.or(() -> this.fleet.getMemoryPolicy().findExcess(service, waiting.item.tokens()));
		if (limit.isEmpty()) {
			this.giveUps.clear(waiting.key);
			return false;
		}
		giveUpIfConfirmed(waiting.job, waiting.item, limit.get());
		return true;
	}

	private void giveUpIfConfirmed(Job job, SubmittedItem item, String reason) {
		ItemKey key = new ItemKey(job.getId(), item.id());
		if (this.giveUps.record(key, this.ticker.millis())) {
			this.configuration.whenCaughtUp(() -> {
			});
		}
		else if (this.giveUps.isConfirmed(key, this.configuration.getCurrentAsOf().monotonicMillis())) {
			giveUp(job, item, reason);
		}
	}

	private Set<HostId> findContenders() {
		Set<HostId> hosts = new HashSet<>(Set.of(this.self));
		this.peers.getPeers()
			.stream()
			.filter(PeerTable.Peer::hasWaitingItems)
			.forEach((peer) -> hosts.add(peer.getHost()));
		return hosts;
	}

	private boolean tryAllocateSlot(Candidate candidate, Set<HostId> contenders) {
		long roundMillis = Math.max(MIN_ROUND_MILLIS, ROUND_MILLIS_PER_HOST * this.peers.getLiveCount());
		return this.idleSlotAllocator.tryAllocate(candidate.entry().id(), candidate.getBatchCapacity(),
				this.ticker.wallMillis() / roundMillis, contenders);
	}

	private void discardObsoleteRuns() {
		long now = this.ticker.millis();
		this.failures.removeIf((key) -> this.jobTable.find(key.job()).filter((j) -> !j.isOpen(key.item())).isPresent());
		this.giveUps.removeIf((key) -> this.jobTable.find(key.job()).filter((j) -> j.isOpen(key.item())).isEmpty());
		this.pendingOutcomes.keySet()
			.removeIf((key) -> this.jobTable.find(key.job()).filter((j) -> j.isOpen(key.item())).isEmpty());
		this.runs.entrySet().removeIf((entry) -> {
			ItemKey key = entry.getKey();
			Optional<Job> job = this.jobTable.find(key.job());
			String cause = null;
			if (job.isEmpty() || job.get().isEnded()) {
				cause = "the job has ended";
			}
			else if (!job.get().isOpen(key.item())) {
				cause = "the item has a result";
			}
			if (cause == null && isPreceded(key, entry.getValue().getEvents())) {
				cause = "another host has more of its output";
			}
			if (cause == null) {
				return isDiscardable(entry.getValue(), now) && !this.ownership.isOwner(job.get(), key.item());
			}
			if (entry.getValue().isRunning()) {
				cancel(entry.getValue(), cause);
			}
			return true;
		});
	}

	private static void cancel(ItemRun run, String cause) {
		LOG.log(GatewayEvent.ITEM_RUN_CANCELLED, run.getJob().getId(), run.getItem().id(), cause, run.getRunner().id(),
				lastEvent(run));
		run.cancel();
	}

	// A run that has received events is kept until the item has a result: if this host
	// becomes the owner again, the item resumes from there.
	private static boolean isDiscardable(ItemRun run, long nowMillis) {
		return !run.isRunning() && !run.isDelayed(nowMillis) && run.getEvents() == 0;
	}

	// A run that was expected to complete when the stop began goes on even if it is
	// slower.
	private void releaseUnfinishable(Predicate<ItemRun> filter) {
		long now = this.ticker.millis();
		this.runs.values().removeIf((run) -> {
			boolean release = filter.test(run) && !this.order.isFeasible(this.runUntilMillis, now, run.getEvents());
			if (release && run.isRunning()) {
				cancel(run, "the host stops");
			}
			return release;
		});
	}

	private boolean updateClaims() {
		List<OutputClaims.Claim> current = new ArrayList<>();
		this.heldItems.clear();
		if (!this.peerClaims.isEmpty()) {
			this.peerClaims.retain(this.peers.getPeers().stream().map(PeerTable.Peer::getHost).toList());
		}
		this.runs.forEach((key, run) -> {
			boolean assigned = isAssigned(key);
			boolean held = !assigned && mayContinue(run);
			boolean contested = assigned && run.getEvents() > 0 && isClaimed(key);
			if (held || contested) {
				current.add(new OutputClaims.Claim(key.stableHash(), run.getEvents()));
			}
			if (held) {
				this.heldItems.computeIfAbsent(key.job(), (job) -> new HashSet<>()).add(key.item());
			}
		});
		this.pendingOutcomes.forEach((key, outcome) -> {
			if (outcome.completed() && !isAssigned(key) && hasTimeForClaim(key)) {
				current.add(new OutputClaims.Claim(key.stableHash(), OutputClaims.Claim.COMPLETE));
			}
		});
		Set<Long> previous = itemsOf(this.claims);
		this.claims = OutputClaims.select(current);
		return !previous.equals(itemsOf(this.claims));
	}

	private static Set<Long> itemsOf(List<OutputClaims.Claim> claims) {
		return claims.stream().map(OutputClaims.Claim::itemHash).collect(Collectors.toSet());
	}

	private boolean isAssigned(ItemKey key) {
		return !this.stopping
				&& this.jobTable.find(key.job()).filter((job) -> this.ownership.isOwner(job, key.item())).isPresent();
	}

	// An output without progress is left to the owner of the item, which may begin the
	// item anew.
	private boolean mayContinue(ItemRun run) {
		return run.getEvents() > 0 && this.ticker.millis() - run.getLastEventMillis() <= OutputClaims.MAX_IDLE_MILLIS
				&& hasTimeForClaim(keyOf(run));
	}

	private boolean hasTimeForClaim(ItemKey key) {
		if (this.caughtUp) {
			return true;
		}
		Long untilDue = this.jobTable.find(key.job()).map(this::getMillisUntilDue).orElse(null);
		return untilDue != null && untilDue >= STALE_CLAIM_RUNS * this.order.remainingMillis(0);
	}

	private boolean isPreceded(ItemKey key, int events) {
		return !this.peerClaims.isEmpty() && this.peerClaims
			.findPrecedingHost(key.stableHash(), this.self, events, this::isAlive, this.ticker.millis())
			.isPresent();
	}

	private boolean isClaimed(ItemKey key) {
		return !this.peerClaims.isEmpty()
				&& this.peerClaims.isClaimed(key.stableHash(), this::isAlive, this.ticker.millis());
	}

	private boolean isAlive(HostId host) {
		return this.peers.find(host).filter(PeerTable.Peer::isAlive).isPresent();
	}

	private Collection<ItemId> findAssignedAndHeldItems(Job job) {
		Set<ItemId> assigned = this.stopping ? Set.of() : this.ownership.getOwnedItems(job);
		Set<ItemId> held = this.heldItems.getOrDefault(job.getId(), Set.of());
		return held.isEmpty() ? assigned : Stream.concat(assigned.stream(), held.stream()).toList();
	}

	private List<WaitingItem> findWaitingItems() {
		long now = this.ticker.millis();
		this.ownership.retain(this.jobTable.getJobs());
		List<WaitingItem> waiting = new ArrayList<>();
		for (Job job : this.jobTable.getJobs()) {
			if (!job.isComplete() || job.isDone()) {
				continue;
			}
			Collection<ItemId> items = findAssignedAndHeldItems(job);
			Optional<Route> route = items.isEmpty() ? Optional.empty() : routeOf(job);
			for (ItemId id : items) {
				ItemKey key = new ItemKey(job.getId(), id);
				if (!job.isOpen(id) || this.pendingOutcomes.containsKey(key)) {
					continue;
				}
				ItemRun run = this.runs.get(key);
				int events = (run != null) ? run.getEvents() : 0;
				if (isPreceded(key, events)) {
					continue;
				}
				SubmittedItem item = job.findItem(id).orElseThrow();
				if (route.isEmpty()) {
					giveUpIfConfirmed(job, item, "its route no longer exists");
					continue;
				}
				if (run == null || (!run.isRunning() && !run.isDelayed(now))) {
					long due = job.getSubmittedAtMillis() + route.get().getCompletionTarget().toMillis();
					waiting.add(new WaitingItem(key, job, item, route.get(), new ItemOrder.Entry(due, events)));
				}
			}
		}
		waiting.sort(Comparator.comparing(WaitingItem::entry, this.order.startOrder(this.ticker.wallMillis())));
		return waiting;
	}

	private Optional<Route> routeOf(Job job) {
		return Optional.ofNullable(this.fleet.getRoutingTable())
			.flatMap((table) -> table.find(job.getHostName(), job.getPath()));
	}

	private void giveUp(Job job, SubmittedItem item, String reason) {
		ItemKey key = new ItemKey(job.getId(), item.id());
		ItemRun run = this.runs.computeIfAbsent(key, (k) -> new ItemRun(job, item, this));
		finish(run, new ItemOutcome(item.id(), false, ByteString.EMPTY), reason, null);
	}

	private void finish(ItemRun run, ItemOutcome outcome, String reason, RunnerEntry runner) {
		JobId job = run.getJob().getId();
		ItemKey key = new ItemKey(job, outcome.item());
		ConnectionUse use = outcome.completed() ? run.getConnectionUse() : ConnectionUse.NONE;
		LOG.log(GatewayEvent.ITEM_DONE, job, outcome.item(), outcome.completed() ? "completed" : "given up", reason,
				run.getEvents(), (runner != null) ? runner.id() : null, use.connection(), use.exchange(), use.skipped(),
				getMillisUntilDue(run.getJob()));
		this.runs.remove(key);
		this.pendingOutcomes.put(key, outcome);
		this.writer.add(() -> this.pendingOutcomes.containsKey(key)
				? JobRecords.write(job, outcome, reason, this.writerKey + "." + ++this.appendAttempts) : null);
	}

	private ItemOrder.Entry entryOf(ItemRun run) {
		long target = routeOf(run.getJob()).map((r) -> r.getCompletionTarget().toMillis()).orElse(0L);
		return new ItemOrder.Entry(run.getJob().getSubmittedAtMillis() + target, run.getEvents());
	}

	private Long getMillisUntilDue(Job job) {
		return routeOf(job)
			.map((route) -> job.getSubmittedAtMillis() + route.getCompletionTarget().toMillis()
					- this.ticker.wallMillis())
			.orElse(null);
	}

	private static ItemKey keyOf(ItemRun run) {
		return new ItemKey(run.getJob().getId(), run.getItem().id());
	}

	private static Long lastEvent(ItemRun run) {
		return run.getLastEvent().isPresent() ? run.getLastEvent().getAsLong() : null;
	}

	private record WaitingItem(ItemKey key, Job job, SubmittedItem item, Route route, ItemOrder.Entry entry) {

	}

}
