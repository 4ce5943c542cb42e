package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.BatchTurns;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.runner.RunnerAnswer;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.RecordWriter;

/**
 * Runs the items that fall to this host on idle slots, the most urgent first, and gives
 * slots back when online requests need them. Every host computes from the same jobs and
 * live hosts who runs an item; where views differ an item may run twice, and the first
 * result in the stream counts. Confined to the event loop.
 */
public final class ItemScheduler implements ItemRun.Listener {

	private static final EventLogger LOG = EventLogger.of(ItemScheduler.class);

	/** Delay in milliseconds before an item that failed runs again. */
	private static final long RETRY_DELAY_MILLIS = 300;

	/**
	 * Shortest length of a turn in milliseconds: what was started in one turn must be
	 * known to the other hosts in the next.
	 */
	private static final long SHORTEST_TURN_MILLIS = 40;

	/** Length of a turn for each live host in milliseconds, as reports take longer. */
	private static final long TURN_MILLIS_PER_HOST = 1;

	/**
	 * Time in milliseconds for which no item starts on a runner that gave a slot back for
	 * another host: until that host's report shows the request that took it, an own count
	 * would take the slot for idle.
	 */
	private static final long PREEMPTED_PAUSE_MILLIS = 60;

	/**
	 * Time in milliseconds for which the present jobs must have been known before items
	 * start: other hosts that learn them at the same moment, as after a restart of all or
	 * an outage of the store, have said so by then.
	 */
	private static final long OWNERSHIP_DELAY_MILLIS = 400;

	/** Deadline of a run where the route sets no retention. */
	private static final Duration DEFAULT_RUN_LIMIT = Duration.ofSeconds(60);

	private final HostId self;

	private final JobLedger ledger;

	private final PeerTable peers;

	private final Fleet fleet;

	private final PlacementPolicy policy;

	private final EventLoop loop;

	private final Ticker ticker;

	private final RecordWriter writer;

	private final String writerKey;

	private final BatchTurns turns;

	private final ItemOrder order = new ItemOrder();

	private final Map<ItemKey, ItemRun> runs = new HashMap<>();

	private final Map<ItemKey, ItemOutcome> unwritten = new HashMap<>();

	private final Map<RunnerId, Long> pausedUntil = new HashMap<>();

	private final ItemOwnership ownership;

	private final FailureLedger failures;

	private long currentSinceMillis = -1;

	private Runnable failureListener = () -> {
	};

	private long attempts;

	private boolean stopping;

	private int waitingCount;

	private ItemScheduler(HostId self, long incarnation, JobLedger ledger, PeerTable peers, Fleet fleet,
			PlacementPolicy policy, EventLoop loop, Ticker ticker, RecordWriter writer) {
		this.self = self;
		this.ledger = ledger;
		this.peers = peers;
		this.fleet = fleet;
		this.policy = policy;
		this.loop = loop;
		this.ticker = ticker;
		this.writer = writer;
		this.writerKey = self + "." + incarnation;
		this.failures = new FailureLedger(this.writerKey);
		this.turns = new BatchTurns(self);
		this.ownership = new ItemOwnership(self, peers);
	}

	/**
	 * Returns a scheduler.
	 * @param self this host, not null
	 * @param incarnation its start
	 * @param ledger the jobs, not null
	 * @param peers the other hosts, not null
	 * @param fleet the runners, not null
	 * @param policy places items, not null
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 * @param writer appends results, not null
	 * @return a scheduler, never null
	 */
	public static ItemScheduler of(HostId self, long incarnation, JobLedger ledger, PeerTable peers, Fleet fleet,
			PlacementPolicy policy, EventLoop loop, Ticker ticker, RecordWriter writer) {
		return new ItemScheduler(self, incarnation, ledger, peers, fleet, policy, loop, ticker, writer);
	}

	/**
	 * Starts items on idle slots and drops those that no longer fall to this host.
	 * @param settled whether the host has run for long enough to know the others
	 * @param current whether it knows the present jobs
	 */
	public void step(boolean settled, boolean current) {
		this.ownership.setSelfCurrent(current);
		release();
		long now = this.ticker.millis();
		this.currentSinceMillis = !current ? -1 : (this.currentSinceMillis < 0) ? now : this.currentSinceMillis;
		boolean undecided = current && now - this.currentSinceMillis < OWNERSHIP_DELAY_MILLIS;
		if (this.stopping || !settled || undecided || this.fleet.getTable() == null) {
			return;
		}
		List<Work> waiting = waiting();
		Set<HostId> contenders = contenders();
		Set<ServiceName> full = new HashSet<>();
		int left = waiting.size();
		for (Work work : waiting) {
			ServiceName service = work.route.chooseService(work.item.id().value());
			if (giveUpIfHopeless(work) || (!full.contains(service) && start(work, service, contenders))) {
				left--;
			}
			else {
				full.add(service);
			}
		}
		this.waitingCount = left;
	}

	/**
	 * Returns the number of items that wait for a slot.
	 * @return the number at the last step
	 */
	public int getWaitingCount() {
		return this.waitingCount;
	}

	/**
	 * Drops jobs whose results need not be readable any more.
	 * @param retention decides which, not null
	 */
	public void dropOld(JobRetention retention) {
		List<KeyedRecord> records = retention.select(this.ledger.getJobs(), this.ticker.wallMillis(),
				(job) -> this.ownership.isOwn(job.value()));
		if (!records.isEmpty()) {
			LOG.log(GatewayEvent.EXPIRED_JOBS_REMOVED, records.size());
			records.forEach((record) -> this.writer.add(() -> record));
		}
	}

	/**
	 * Gives slots of a runner back.
	 * @param runner the runner, not null
	 * @param slots the number
	 * @return the number of items that were stopped
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
	 * Sets what happens when a run failed here, so that other hosts are told.
	 * @param listener the listener, not null
	 */
	public void onFailure(Runnable listener) {
		this.failureListener = listener;
	}

	/**
	 * Returns the failed runs of open items at this host.
	 * @return the counts, never null
	 */
	public List<FailureLedger.Count> getFailures() {
		return this.failures.getOwn();
	}

	/**
	 * Records failed runs at another host.
	 * @param host names a start of the other host, not null
	 * @param job the job, not null
	 * @param item the item, not null
	 * @param count the failed runs there
	 */
	public void reportFailures(String host, JobId job, ItemId item, int count) {
		this.failures.report(host, new ItemKey(job, item), count);
	}

	/**
	 * Starts no further items.
	 */
	public void stop() {
		this.stopping = true;
	}

	/**
	 * Ends all runs.
	 */
	public void cancelAll() {
		this.runs.values().forEach(ItemRun::cancel);
		this.runs.clear();
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
			this.order.learn(run.getEvents(), run.getRunMillis());
		}
		finish(run, new ItemOutcome(run.getItem().id(), true, run.getOutput()), "", runner);
	}

	@Override
	public void answered(ItemRun run, RunnerEntry runner, RunnerAnswer answer) {
		boolean ran = !answer.notRun() && !answer.wrongRunner();
		ItemKey key = keyOf(run);
		if (ran && answer.status() == 500) {
			this.failures.add(key);
			this.failureListener.run();
		}
		int failed = this.failures.getTotal(key);
		LOG.log(GatewayEvent.ITEM_FAILED, run.getJob().getId(), run.getItem().id(), runner.id(),
				"status " + answer.status(), failed, lastEvent(run));
		if (answer.wrongRunner()) {
			this.fleet.recordFailure(runner, "WRONG_RUNNER");
		}
		int maxAttempts = routeOf(run.getJob()).map(Route::getMaxAttempts).orElse(1);
		Optional<String> reason = ran ? ItemPolicy.giveUpAfter(answer.status(), failed, maxAttempts) : Optional.empty();
		if (reason.isPresent()) {
			giveUp(run.getJob(), run.getItem(), reason.get());
		}
		else {
			run.delay(this.ticker.millis() + RETRY_DELAY_MILLIS);
		}
	}

	@Override
	public void broken(ItemRun run, RunnerEntry runner, RunnerFailure failure) {
		LOG.log(GatewayEvent.ITEM_FAILED, run.getJob().getId(), run.getItem().id(), runner.id(),
				failure.kind() + ": " + failure.reason(), this.failures.getTotal(keyOf(run)), lastEvent(run));
		if (failure.kind() != RunnerFailure.Kind.STALE_CONNECTION
				&& failure.kind() != RunnerFailure.Kind.NO_CONNECTION) {
			this.fleet.recordFailure(runner, failure.kind().name());
		}
	}

	private boolean start(Work work, ServiceName service, Set<HostId> contenders) {
		long wallMillis = this.ticker.wallMillis();
		Duration age = Duration.ofMillis(wallMillis - work.job.getSubmittedAtMillis());
		Route route = work.route;
		long now = this.ticker.millis();
		this.pausedUntil.values().removeIf((until) -> until <= now);
		Optional<RunnerEntry> runner = this.policy.placeBatch(this.fleet.candidates(service, this.pausedUntil.keySet()),
				(candidate) -> takeSlot(candidate, contenders));
		if (runner.isEmpty()) {
			return false;
		}
		ItemRun run = this.runs.computeIfAbsent(work.key, (k) -> new ItemRun(work.job, work.item, this));
		Duration remaining = route.getRetention().isZero() ? DEFAULT_RUN_LIMIT : route.getRetention().minus(age);
		LOG.log(GatewayEvent.ITEM_STARTED, work.job.getId(), work.item.id(), runner.get().id(), lastEvent(run),
				run.getAttempts() + 1, work.entry.dueMillis() - wallMillis,
				this.fleet.getBoard().getLoad(runner.get().id()).getTotal());
		run.start(this.fleet, this.loop, this.ticker, runner.get(), remaining);
		return true;
	}

	private boolean giveUpIfHopeless(Work work) {
		Duration age = Duration.ofMillis(this.ticker.wallMillis() - work.job.getSubmittedAtMillis());
		Optional<String> hopeless = ItemPolicy.giveUpAt(age, work.route.getRetention())
			.or(() -> ItemPolicy.giveUpAfter(this.failures.getTotal(work.key), work.route.getMaxAttempts()));
		hopeless.ifPresent((reason) -> giveUp(work.job, work.item, reason));
		return hopeless.isPresent();
	}

	private Set<HostId> contenders() {
		Set<HostId> hosts = new HashSet<>(Set.of(this.self));
		this.peers.getPeers().stream().filter(PeerTable.Peer::isContender).forEach((peer) -> hosts.add(peer.getHost()));
		return hosts;
	}

	private boolean takeSlot(Candidate candidate, Set<HostId> contenders) {
		long length = Math.max(SHORTEST_TURN_MILLIS, TURN_MILLIS_PER_HOST * this.peers.getLiveCount());
		return this.turns.tryTake(candidate.entry().id(), candidate.getFreeSlots(), this.ticker.wallMillis() / length,
				contenders);
	}

	private void release() {
		long now = this.ticker.millis();
		this.failures.drop((key) -> this.ledger.find(key.job()).filter((j) -> !j.isOpen(key.item())).isPresent());
		this.unwritten.keySet()
			.removeIf((key) -> this.ledger.find(key.job()).filter((j) -> j.isOpen(key.item())).isEmpty());
		this.runs.entrySet().removeIf((entry) -> {
			ItemKey key = entry.getKey();
			Optional<Job> job = this.ledger.find(key.job());
			String cause = null;
			if (job.isEmpty() || job.get().isEnded()) {
				cause = "the job has ended";
			}
			else if (!job.get().isOpen(key.item())) {
				cause = "the item has a result";
			}
			if (cause == null) {
				return isForgettable(entry.getValue(), now) && !this.ownership.isOwn(key.job(), key.item());
			}
			if (entry.getValue().isRunning()) {
				LOG.log(GatewayEvent.ITEM_RUN_CANCELLED, key.job(), key.item(), cause);
				entry.getValue().cancel();
			}
			return true;
		});
	}

	// A run that has received events is kept until the item has a result: when the item
	// falls to this host again, it goes on from there.
	private static boolean isForgettable(ItemRun run, long nowMillis) {
		return !run.isRunning() && !run.isDelayed(nowMillis) && run.getEvents() == 0;
	}

	private List<Work> waiting() {
		long now = this.ticker.millis();
		this.ownership.retain(this.ledger.getJobs());
		List<Work> waiting = new ArrayList<>();
		for (Job job : this.ledger.getJobs()) {
			if (!job.isComplete() || job.isDone()) {
				continue;
			}
			List<SubmittedItem> own = this.ownership.getOwnItems(job);
			Optional<Route> route = own.isEmpty() ? Optional.empty() : routeOf(job);
			for (SubmittedItem item : own) {
				ItemKey key = new ItemKey(job.getId(), item.id());
				if (!job.isOpen(item.id()) || this.unwritten.containsKey(key)) {
					continue;
				}
				if (route.isEmpty()) {
					giveUp(job, item, "its route no longer exists");
					continue;
				}
				ItemRun run = this.runs.get(key);
				if (run == null || (!run.isRunning() && !run.isDelayed(now))) {
					long due = job.getSubmittedAtMillis() + route.get().getCompletionTarget().toMillis();
					waiting.add(new Work(key, job, item, route.get(),
							new ItemOrder.Entry(due, (run != null) ? run.getEvents() : 0)));
				}
			}
		}
		waiting.sort(Comparator.comparing(Work::entry, this.order.startOrder(this.ticker.wallMillis())));
		return waiting;
	}

	private Optional<Route> routeOf(Job job) {
		return this.fleet.getTable().find(job.getHostName(), job.getPath());
	}

	private void giveUp(Job job, SubmittedItem item, String reason) {
		ItemKey key = new ItemKey(job.getId(), item.id());
		ItemRun run = this.runs.computeIfAbsent(key, (k) -> new ItemRun(job, item, this));
		finish(run, new ItemOutcome(item.id(), false, new byte[0]), reason, null);
	}

	private void finish(ItemRun run, ItemOutcome outcome, String reason, RunnerEntry runner) {
		JobId job = run.getJob().getId();
		ItemKey key = new ItemKey(job, outcome.item());
		LOG.log(GatewayEvent.ITEM_DONE, job, outcome.item(), outcome.completed() ? "completed" : "given up", reason,
				run.getEvents(), (runner != null) ? runner.id() : null);
		this.runs.remove(key);
		this.unwritten.put(key, outcome);
		this.writer.add(() -> this.unwritten.containsKey(key)
				? JobRecords.write(job, outcome, reason, this.writerKey + "." + ++this.attempts) : null);
	}

	private ItemOrder.Entry entryOf(ItemRun run) {
		long target = routeOf(run.getJob()).map((r) -> r.getCompletionTarget().toMillis()).orElse(0L);
		return new ItemOrder.Entry(run.getJob().getSubmittedAtMillis() + target, run.getEvents());
	}

	private static ItemKey keyOf(ItemRun run) {
		return new ItemKey(run.getJob().getId(), run.getItem().id());
	}

	private static Long lastEvent(ItemRun run) {
		return run.getLastEvent().isPresent() ? run.getLastEvent().getAsLong() : null;
	}

	private record Work(ItemKey key, Job job, SubmittedItem item, Route route, ItemOrder.Entry entry) {

	}

}
