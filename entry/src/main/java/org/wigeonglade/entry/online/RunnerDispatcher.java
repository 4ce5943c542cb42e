package org.wigeonglade.entry.online;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.LoadReport;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.completion.CompletionResponseWriter;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Runs batch items in the slots of one runner that online requests leave idle, and
 * preempts the items as soon as online requests need the slots. Runs on one event loop.
 */
final class RunnerDispatcher implements Attempt.Listener {

	private static final EventLogger LOG = EventLogger.of(RunnerDispatcher.class);

	/**
	 * Time from the cancellation of a stream until its slot is free, in seconds. Slots
	 * are kept free for the online requests that are expected within this time.
	 */
	private static final double PREEMPTION_SECONDS = 0.01;

	/**
	 * Time for which the slot of a stopped stream counts as occupied, in milliseconds. An
	 * engine frees the slot only when it detects the closed connection; an item that
	 * arrives earlier waits in the engine's queue, ahead of online requests.
	 */
	static final long SLOT_RELEASE_MILLIS = 20;

	/** Largest fraction of the slots that is kept free. */
	private static final double MAX_HEADROOM_FRACTION = 0.25;

	/** Time after which a preempted item is returned to its owner, in milliseconds. */
	private static final long MAX_PREEMPTED_MILLIS = 10_000;

	/** Time without new items after a runner failed or refused one, in milliseconds. */
	private static final long FAILURE_PAUSE_MILLIS = 200;

	private final EventLoop loop;

	private final Ticker ticker;

	private final RunnerState runner;

	private final PeerNotifier notifier;

	private final AccountRecorder account;

	private final Consumer<WorkOutcome> outcomes;

	private final List<BatchStream> running = new ArrayList<>();

	private final Deque<BatchStream> preempted = new ArrayDeque<>();

	private final Deque<BatchStream> ready = new ArrayDeque<>();

	private final Deque<BatchStream> suspects = new ArrayDeque<>();

	private final Deque<Long> slotReleaseMillis = new ArrayDeque<>();

	private final ArrivalRate arrivals = new ArrivalRate();

	private BatchStream isolated;

	private long pausedUntilMillis;

	private int lastOnline;

	private long preemptions;

	RunnerDispatcher(EventLoop loop, Ticker ticker, RunnerState runner, OnlineRuntime online,
			Consumer<WorkOutcome> outcomes) {
		this.loop = loop;
		this.ticker = ticker;
		this.runner = runner;
		this.notifier = online.getNotifier();
		this.account = online.getAccount();
		this.outcomes = outcomes;
	}

	RunnerState getRunner() {
		return this.runner;
	}

	Map<String, Object> getStatistics() {
		Map<String, Object> statistics = new LinkedHashMap<>();
		statistics.put("slots", slots());
		statistics.put("online", onlineInFlight());
		statistics.put("running", this.running.size());
		statistics.put("preempted_waiting", this.preempted.size());
		statistics.put("ready", this.ready.size());
		statistics.put("suspects", this.suspects.size() + ((this.isolated != null) ? 1 : 0));
		statistics.put("preemptions", this.preemptions);
		return statistics;
	}

	boolean hasNoOnlineWork() {
		return onlineInFlight() == 0;
	}

	void addGrants(List<Long> grants) {
		this.running.forEach((s) -> grants.add(s.getGrantId()));
		this.preempted.forEach((s) -> grants.add(s.getGrantId()));
		this.ready.forEach((s) -> grants.add(s.getGrantId()));
		this.suspects.forEach((s) -> grants.add(s.getGrantId()));
		if (this.isolated != null) {
			grants.add(this.isolated.getGrantId());
		}
	}

	// Returns how many more items can be used soon: one for each free slot and a
	// small reserve, so that a slot that becomes free is filled without a round trip.
	int getItemDemand() {
		int slots = slots();
		if (slots == 0 || !mayStartItems() || this.isolated != null || !this.suspects.isEmpty()) {
			return 0;
		}
		int target = Math.max(0, slots - onlineInFlight() - headroom(slots)) + Math.max(1, slots / 2);
		return Math.max(0, target - this.running.size() - this.preempted.size() - this.ready.size());
	}

	void enqueue(BatchStream stream, boolean suspect) {
		(suspect ? this.suspects : this.ready).add(stream);
	}

	// Reads the number of online requests in flight and preempts or starts items.
	void adjust() {
		int online = onlineInFlight();
		if (online > this.lastOnline && online < RunnerState.RESERVED_COUNT) {
			for (int i = this.lastOnline; i < online; i++) {
				this.arrivals.recordArrival(this.ticker.nanos());
			}
		}
		this.lastOnline = online;
		int slots = slots();
		if (this.isolated != null) {
			if (online > 0) {
				returnIsolated();
			}
			return;
		}
		preempt(Math.min(this.running.size(), online + this.running.size() - slots));
		if (isUnavailable()) {
			returnWaiting();
			return;
		}
		if (!mayStartItems()) {
			return;
		}
		if (!this.suspects.isEmpty()) {
			startIsolated(online);
			return;
		}
		fillSlots(slots - online - headroom(slots) - this.running.size() - countSlotsInRelease());
		returnExpiredPreempted();
	}

	// Stops all items and returns them to their owners.
	void close() {
		for (BatchStream stream : List.copyOf(this.running)) {
			stop(stream);
			returnToOwner(stream);
		}
		this.running.clear();
		if (this.isolated != null) {
			returnIsolated();
		}
		returnWaiting();
	}

	void revoke(List<Long> grants) {
		for (BatchStream stream : List.copyOf(this.running)) {
			if (grants.contains(stream.getGrantId())) {
				stop(stream);
				this.running.remove(stream);
			}
		}
		if (this.isolated != null && grants.contains(this.isolated.getGrantId())) {
			stop(this.isolated);
			endIsolated();
		}
		for (Deque<BatchStream> queue : List.of(this.preempted, this.ready, this.suspects)) {
			queue.removeIf((s) -> grants.contains(s.getGrantId()));
		}
	}

	@Override
	public void onToken(Attempt source, EngineEvent.Token token) {
		BatchStream stream = find(source);
		if (stream != null) {
			stream.addToken(token);
		}
	}

	@Override
	public void onEnd(Attempt source, EngineEvent.End end) {
		BatchStream stream = find(source);
		if (stream == null) {
			return;
		}
		removeEnded(stream);
		CompletionResponseWriter writer = new CompletionResponseWriter(
				stream.getItem().getBatchId() + "." + stream.getItem().getIndex(), stream.getBody(),
				this.ticker.wallMillis() / 1000);
		byte[] result = writer.completeResponse(String.join("", stream.getTokens()), end).getBytes();
		this.outcomes.accept(stream.completed(runnerName(), result));
		adjust();
	}

	@Override
	public void onFailure(Attempt source, UpstreamException failure) {
		BatchStream stream = find(source);
		if (stream == null) {
			return;
		}
		removeEnded(stream);
		LOG.log(OnlineEvent.UPSTREAM_FAILED, stream.getItem().getBatchId() + "/" + stream.getItem().getIndex(),
				runnerName(), failure.getCode().getCode(), failure.isConnectionLost(), stream.getTokens().size());
		if (failure.isConnectionLost()) {
			this.runner.recordFailure(true, this.ticker.nanos());
		}
		this.pausedUntilMillis = this.ticker.millis() + FAILURE_PAUSE_MILLIS;
		this.outcomes.accept(stream.failed(statusOf(stream, failure), runnerName(), failure.getCode().getCode(),
				failure.getMessage()));
	}

	private static WorkStatus statusOf(BatchStream stream, UpstreamException failure) {
		return switch (failure.getCode()) {
			case UPSTREAM_REJECTED -> WorkStatus.WORK_FAILED;
			default -> {
				if (failure.getExecutionState() == ExecutionState.NOT_RUN) {
					yield WorkStatus.WORK_RETURNED;
				}
				if (!stream.getItem().getIdempotent()) {
					yield WorkStatus.WORK_UNKNOWN;
				}
				yield failure.isConnectionLost() ? WorkStatus.WORK_CRASHED : WorkStatus.WORK_RETURNED;
			}
		};
	}

	private void fillSlots(int free) {
		for (int i = 0; i < free; i++) {
			BatchStream next = this.preempted.isEmpty() ? this.ready.poll() : this.preempted.poll();
			if (next == null) {
				return;
			}
			this.running.add(next);
			start(next);
		}
	}

	private void start(BatchStream stream) {
		this.runner.beginBatch();
		Attempt attempt = new Attempt(this.loop, this, this.runner, stream.getTokens().size(), stream.getVersion(),
				this.ticker.nanos());
		attempt.start(stream.beginAttempt(attempt), true);
	}

	// Stops the newest streams. Those that must not be repeated are never stopped,
	// because it would be unknown whether they ran.
	private void preempt(int count) {
		int remaining = count;
		for (int i = this.running.size() - 1; i >= 0 && remaining > 0; i--) {
			BatchStream stream = this.running.get(i);
			if (stream.getItem().getIdempotent()) {
				stop(stream);
				this.running.remove(i);
				stream.setPreemptedAtMillis(this.ticker.millis());
				this.preempted.addFirst(stream);
				remaining--;
				this.preemptions++;
				this.account.record(AccountCode.PREEMPTED, "item",
						stream.getItem().getBatchId() + "/" + stream.getItem().getIndex(), null,
						Map.of("upstream", runnerName(), "tokens", Integer.toString(stream.getTokens().size())));
			}
		}
		if (remaining < count) {
			LOG.log(OnlineEvent.PREEMPTED, runnerName(), count - remaining);
		}
	}

	private void startIsolated(int online) {
		if (online > 0) {
			this.suspects.forEach((s) -> this.outcomes.accept(returnedOutcome(s)));
			this.suspects.clear();
			return;
		}
		preempt(this.running.size());
		if (this.running.isEmpty()) {
			this.isolated = this.suspects.poll();
			setReserved(true);
			start(this.isolated);
		}
	}

	private void returnIsolated() {
		BatchStream stream = this.isolated;
		stop(stream);
		endIsolated();
		returnToOwner(stream);
	}

	private void endIsolated() {
		this.isolated = null;
		setReserved(false);
	}

	private void setReserved(boolean reserved) {
		this.runner.setReservedForBatch(reserved);
		this.notifier.broadcastArrival(this.runner.getMember().domain(), this.runner.getMember(),
				this.runner.getCountToAnnounce());
	}

	private void returnExpiredPreempted() {
		long cutoff = this.ticker.millis() - MAX_PREEMPTED_MILLIS;
		while (!this.preempted.isEmpty() && this.preempted.peekLast().getPreemptedAtMillis() < cutoff) {
			this.outcomes.accept(returnedOutcome(this.preempted.pollLast()));
		}
	}

	// Returns the items that are not running, so that their owners can grant them to
	// other runners.
	private void returnWaiting() {
		for (Deque<BatchStream> queue : List.of(this.preempted, this.ready, this.suspects)) {
			queue.forEach((s) -> this.outcomes.accept(returnedOutcome(s)));
			queue.clear();
		}
	}

	private int countSlotsInRelease() {
		while (!this.slotReleaseMillis.isEmpty() && this.slotReleaseMillis.peek() <= this.ticker.millis()) {
			this.slotReleaseMillis.poll();
		}
		return this.slotReleaseMillis.size();
	}

	private void stop(BatchStream stream) {
		if (stream.getAttempt() != null) {
			stream.getAttempt().cancel();
			this.slotReleaseMillis.add(this.ticker.millis() + SLOT_RELEASE_MILLIS);
			stream.endAttempt();
			this.runner.endBatch();
		}
	}

	private void removeEnded(BatchStream stream) {
		stream.endAttempt();
		this.runner.endBatch();
		if (stream == this.isolated) {
			endIsolated();
		}
		else {
			this.running.remove(stream);
		}
	}

	private void returnToOwner(BatchStream stream) {
		this.outcomes.accept(stream.getItem().getIdempotent() ? returnedOutcome(stream)
				: stream.failed(WorkStatus.WORK_UNKNOWN, runnerName(), "", "stopped while it ran"));
	}

	private WorkOutcome returnedOutcome(BatchStream stream) {
		return stream.outcome(WorkStatus.WORK_RETURNED, runnerName()).build();
	}

	private BatchStream find(Attempt source) {
		if (this.isolated != null && this.isolated.getAttempt() == source) {
			return this.isolated;
		}
		for (BatchStream stream : this.running) {
			if (stream.getAttempt() == source) {
				return stream;
			}
		}
		return null;
	}

	private int onlineInFlight() {
		return this.runner.getTotalOnlineInFlight(this.ticker.millis());
	}

	private int slots() {
		LoadReport report = this.runner.getReport();
		return (report != null) ? report.slots() : 0;
	}

	private int headroom(int slots) {
		double expectedArrivals = this.arrivals.getPerSecond(this.ticker.nanos()) * PREEMPTION_SECONDS;
		return (int) Math.min(slots * MAX_HEADROOM_FRACTION, Math.round(expectedArrivals));
	}

	// A leaving runner gets no new work, and one with an open breaker gets none for
	// seconds.
	private boolean isUnavailable() {
		return this.runner.getMember().leaving() || !this.runner.breakerAllows(this.ticker.nanos());
	}

	private boolean mayStartItems() {
		return !isUnavailable() && this.ticker.millis() >= this.pausedUntilMillis;
	}

	private String runnerName() {
		return this.runner.getMember().id().value();
	}

}
