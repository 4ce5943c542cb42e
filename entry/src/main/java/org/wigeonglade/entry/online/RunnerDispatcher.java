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
import org.wigeonglade.entry.completion.CompletionJson;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Fills the slots of one runner that online work leaves idle, and gives them back at
 * once. Runs on one event loop.
 */
final class RunnerDispatcher implements Attempt.Listener {

	private static final EventLogger LOG = EventLogger.of(RunnerDispatcher.class);

	/**
	 * Time from the cancellation of a stream until its slot is free, in seconds. Slots
	 * for the online requests that arrive within it are kept free.
	 */
	private static final double REACTION_SECONDS = 0.01;

	/**
	 * Time for which the slot of a stopped stream counts as taken, in milliseconds. An
	 * engine frees the slot only when it sees the closed connection; an item that comes
	 * earlier waits in the engine's queue, in front of online requests.
	 */
	static final long SLOT_RELEASE_MILLIS = 20;

	/** Part of the slots that is kept free at most. */
	private static final double LARGEST_HEADROOM = 0.25;

	/** Time after which a preempted item is given back, in milliseconds. */
	private static final long LONGEST_PARKED_MILLIS = 10_000;

	/** Pause after a runner turned work down, in milliseconds. */
	private static final long PAUSE_MILLIS = 200;

	private final EventLoop loop;

	private final Ticker ticker;

	private final RunnerState runner;

	private final Suspects suspects;

	private final HostLinks links;

	private final AccountRecorder account;

	private final Consumer<WorkOutcome> reports;

	private final List<BatchStream> running = new ArrayList<>();

	private final Deque<BatchStream> parked = new ArrayDeque<>();

	private final Deque<BatchStream> ready = new ArrayDeque<>();

	private final Deque<BatchStream> alone = new ArrayDeque<>();

	private final Deque<Long> releaseMillis = new ArrayDeque<>();

	private final ArrivalRate arrivals = new ArrivalRate();

	private BatchStream isolated;

	private long pausedUntilMillis;

	private int lastOnline;

	private long preemptions;

	RunnerDispatcher(EventLoop loop, Ticker ticker, RunnerState runner, OnlineRuntime online,
			Consumer<WorkOutcome> reports) {
		this.loop = loop;
		this.ticker = ticker;
		this.runner = runner;
		this.suspects = online.getSuspects();
		this.links = online.getLinks();
		this.account = online.getAccount();
		this.reports = reports;
	}

	RunnerState getRunner() {
		return this.runner;
	}

	Map<String, Object> getFigures() {
		Map<String, Object> figures = new LinkedHashMap<>();
		figures.put("slots", slots());
		figures.put("online", online());
		figures.put("running", this.running.size());
		figures.put("preempted_waiting", this.parked.size());
		figures.put("ready", this.ready.size());
		figures.put("suspects", this.alone.size() + ((this.isolated != null) ? 1 : 0));
		figures.put("preemptions", this.preemptions);
		return figures;
	}

	boolean isIdleOfOnline() {
		return online() == 0;
	}

	void addGrants(List<Long> grants) {
		this.running.forEach((s) -> grants.add(s.getGrantId()));
		this.parked.forEach((s) -> grants.add(s.getGrantId()));
		this.ready.forEach((s) -> grants.add(s.getGrantId()));
		this.alone.forEach((s) -> grants.add(s.getGrantId()));
		if (this.isolated != null) {
			grants.add(this.isolated.getGrantId());
		}
	}

	// Returns how many more items can be used soon: free slots and a small reserve, so
	// that
	// a slot that becomes free is filled without a round trip.
	int getWanted() {
		int slots = slots();
		if (slots == 0 || !isOpen() || this.isolated != null || !this.alone.isEmpty()) {
			return 0;
		}
		int target = Math.max(0, slots - online() - headroom(slots)) + Math.max(1, slots / 2);
		return Math.max(0, target - this.running.size() - this.parked.size() - this.ready.size());
	}

	void take(BatchStream stream, boolean suspect) {
		(suspect ? this.alone : this.ready).add(stream);
	}

	// Counts the online requests in flight again and gives back or fills slots.
	void adjust() {
		int online = online();
		if (online > this.lastOnline && online < RunnerState.RESERVED) {
			for (int i = this.lastOnline; i < online; i++) {
				this.arrivals.plusArrival(this.ticker.nanos());
			}
		}
		this.lastOnline = online;
		int slots = slots();
		if (this.isolated != null) {
			if (online > 0) {
				giveBackIsolated();
			}
			return;
		}
		preempt(Math.min(this.running.size(), online + this.running.size() - slots));
		if (isLost()) {
			returnHeld();
			return;
		}
		if (!isOpen()) {
			return;
		}
		if (!this.alone.isEmpty()) {
			startAlone(online);
			return;
		}
		fill(slots - online - headroom(slots) - this.running.size() - countReleasing());
		returnOldParked();
	}

	// Stops all work and gives it back.
	void close() {
		for (BatchStream stream : List.copyOf(this.running)) {
			stop(stream);
			giveBack(stream);
		}
		this.running.clear();
		if (this.isolated != null) {
			giveBackIsolated();
		}
		returnHeld();
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
		for (Deque<BatchStream> held : List.of(this.parked, this.ready, this.alone)) {
			held.removeIf((s) -> grants.contains(s.getGrantId()));
		}
	}

	@Override
	public void onToken(Attempt source, EngineEvent.Token token) {
		BatchStream stream = find(source);
		if (stream != null) {
			stream.getTokens().add(token.text());
		}
	}

	@Override
	public void onEnd(Attempt source, EngineEvent.End end) {
		BatchStream stream = find(source);
		if (stream == null) {
			return;
		}
		leave(stream);
		CompletionJson json = new CompletionJson(stream.getItem().getBatchId() + "." + stream.getItem().getIndex(),
				stream.getBody(), this.ticker.wallMillis() / 1000);
		byte[] result = json.whole(String.join("", stream.getTokens()), end).getBytes();
		this.reports.accept(stream.completed(name(), result));
		adjust();
	}

	@Override
	public void onFailure(Attempt source, UpstreamException failure) {
		BatchStream stream = find(source);
		if (stream == null) {
			return;
		}
		leave(stream);
		LOG.log(OnlineEvent.UPSTREAM_FAILED, stream.getItem().getBatchId() + "/" + stream.getItem().getIndex(), name(),
				failure.getCode().getCode(), failure.isConnectionLost(), stream.getTokens().size());
		if (failure.isConnectionLost()) {
			this.runner.failed(true, this.ticker.nanos());
			this.suspects.reportLater(stream.getFingerprint(), this.runner.getCrashName());
		}
		this.pausedUntilMillis = this.ticker.millis() + PAUSE_MILLIS;
		this.reports.accept(
				stream.failed(statusOf(stream, failure), name(), failure.getCode().getCode(), failure.getMessage()));
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

	private void fill(int free) {
		for (int i = 0; i < free; i++) {
			BatchStream next = this.parked.isEmpty() ? this.ready.poll() : this.parked.poll();
			if (next == null) {
				return;
			}
			this.running.add(next);
			start(next);
		}
	}

	private void start(BatchStream stream) {
		this.runner.beginBatch();
		Attempt attempt = new Attempt(this.loop, this, this.runner, stream.getTokens().size(), this.ticker.nanos());
		attempt.start(stream.begin(attempt), true);
	}

	// Stops the newest streams. Those that must not be repeated are never stopped: it
	// would
	// not be known whether they ran.
	private void preempt(int count) {
		int left = count;
		for (int i = this.running.size() - 1; i >= 0 && left > 0; i--) {
			BatchStream stream = this.running.get(i);
			if (stream.getItem().getIdempotent()) {
				stop(stream);
				this.running.remove(i);
				stream.setParkedAtMillis(this.ticker.millis());
				this.parked.addFirst(stream);
				left--;
				this.preemptions++;
				this.account.record(AccountCode.PREEMPTED, "item",
						stream.getItem().getBatchId() + "/" + stream.getItem().getIndex(), null,
						Map.of("upstream", name(), "tokens", Integer.toString(stream.getTokens().size())));
			}
		}
		if (left < count) {
			LOG.log(OnlineEvent.PREEMPTED, name(), count - left);
		}
	}

	private void startAlone(int online) {
		if (online > 0) {
			this.alone.forEach((s) -> this.reports.accept(returned(s)));
			this.alone.clear();
			return;
		}
		preempt(this.running.size());
		if (this.running.isEmpty()) {
			this.isolated = this.alone.poll();
			keep(true);
			start(this.isolated);
		}
	}

	private void giveBackIsolated() {
		BatchStream stream = this.isolated;
		stop(stream);
		endIsolated();
		giveBack(stream);
	}

	private void endIsolated() {
		this.isolated = null;
		keep(false);
	}

	private void keep(boolean kept) {
		this.runner.setKeptForBatch(kept);
		this.links.broadcastArrival(this.runner.getMember().domain(), this.runner.getMember(),
				this.runner.getAnnouncedCount());
	}

	private void returnOldParked() {
		long oldest = this.ticker.millis() - LONGEST_PARKED_MILLIS;
		while (!this.parked.isEmpty() && this.parked.peekLast().getParkedAtMillis() < oldest) {
			this.reports.accept(returned(this.parked.pollLast()));
		}
	}

	// Gives back the items that do not run, so that their owner can grant them elsewhere.
	private void returnHeld() {
		for (Deque<BatchStream> held : List.of(this.parked, this.ready, this.alone)) {
			held.forEach((s) -> this.reports.accept(returned(s)));
			held.clear();
		}
	}

	private int countReleasing() {
		while (!this.releaseMillis.isEmpty() && this.releaseMillis.peek() <= this.ticker.millis()) {
			this.releaseMillis.poll();
		}
		return this.releaseMillis.size();
	}

	private void stop(BatchStream stream) {
		if (stream.getAttempt() != null) {
			stream.getAttempt().cancel();
			this.releaseMillis.add(this.ticker.millis() + SLOT_RELEASE_MILLIS);
			stream.end();
			this.runner.endBatch();
		}
	}

	private void leave(BatchStream stream) {
		stream.end();
		this.runner.endBatch();
		if (stream == this.isolated) {
			endIsolated();
		}
		else {
			this.running.remove(stream);
		}
	}

	private void giveBack(BatchStream stream) {
		this.reports.accept(stream.getItem().getIdempotent() ? returned(stream)
				: stream.failed(WorkStatus.WORK_UNKNOWN, name(), "", "stopped while it ran"));
	}

	private WorkOutcome returned(BatchStream stream) {
		return stream.outcome(WorkStatus.WORK_RETURNED, name()).build();
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

	private int online() {
		return this.runner.getAnnouncedOnline(this.ticker.millis());
	}

	private int slots() {
		LoadReport report = this.runner.getReport();
		return (report != null) ? report.slots() : 0;
	}

	private int headroom(int slots) {
		double wanted = this.arrivals.getPerSecond(this.ticker.nanos()) * REACTION_SECONDS;
		return (int) Math.min(slots * LARGEST_HEADROOM, Math.round(wanted));
	}

	// A leaving runner gets no new work and one behind an open breaker none for seconds.
	private boolean isLost() {
		return this.runner.getMember().leaving() || !this.runner.mayDispatch(this.ticker.nanos());
	}

	private boolean isOpen() {
		return !isLost() && this.ticker.millis() >= this.pausedUntilMillis;
	}

	private String name() {
		return this.runner.getMember().id().value();
	}

}
