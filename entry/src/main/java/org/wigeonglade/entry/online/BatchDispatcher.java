package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.completion.CompletionBody;
import org.wigeonglade.entry.completion.JsonReader;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Dispatches batch items to the runners that this host is responsible for. Runs on its
 * own event loop, so that batch work does not delay online requests.
 */
public final class BatchDispatcher {

	private static final EventLogger LOG = EventLogger.of(BatchDispatcher.class);

	/** Interval at which slots are checked and outcomes reported, in milliseconds. */
	private static final long POLL_MILLIS = 10;

	/** Delay after a work request that was granted no items, in milliseconds. */
	private static final long EMPTY_GRANT_PAUSE_MILLIS = 50;

	/** Nesting limit of item bodies, which were validated when the job was accepted. */
	private static final int MAX_DEPTH = 1000;

	private final EventLoop loop;

	private final Ticker ticker;

	private final OnlineRuntime online;

	private final WorkSource source;

	private final WorkReporter reporter;

	private final JsonReader json = new JsonReader(MAX_DEPTH);

	private final Map<UpstreamId, RunnerDispatcher> dispatchers = new HashMap<>();

	private final Map<UpstreamId, Long> nextRequestMillis = new HashMap<>();

	private final Set<UpstreamId> requesting = new HashSet<>();

	private boolean stopped;

	private volatile Map<String, Object> statistics = Map.of();

	private long timer = -1;

	/**
	 * Creates the dispatcher without starting it.
	 * @param loop the event loop of batch work, not null
	 * @param ticker the wall and monotonic clocks, not null
	 * @param online the online path that shares the runners, not null
	 * @param source grants items and receives outcomes, not null
	 */
	public BatchDispatcher(EventLoop loop, Ticker ticker, OnlineRuntime online, WorkSource source) {
		this.loop = loop;
		this.ticker = ticker;
		this.online = online;
		this.source = source;
		this.reporter = new WorkReporter(loop, source, ticker,
				(grants) -> this.dispatchers.values().forEach((d) -> d.revoke(grants)));
	}

	/**
	 * Starts requesting and running batch items.
	 */
	public void start() {
		this.online.setBatchListener((runner, from, count) -> this.loop.execute(() -> onArrival(runner)));
		this.loop.execute(() -> this.timer = this.loop.schedulePeriodic(POLL_MILLIS, this::poll));
	}

	/**
	 * Stops all streams, returns their items to the owners and reports the remaining
	 * outcomes for at most about one second.
	 * @param done called on the event loop of batch work when all outcomes were
	 * acknowledged or the time is over
	 */
	public void stop(Runnable done) {
		this.loop.execute(() -> {
			this.stopped = true;
			this.dispatchers.values().forEach(RunnerDispatcher::close);
			this.dispatchers.clear();
			flushReports(100, done);
		});
	}

	/**
	 * Returns statistics of the runners that this host dispatches to. May be called from
	 * any thread.
	 * @return the statistics by runner as of the last check of the slots
	 */
	public Map<String, Object> getStatistics() {
		return this.statistics;
	}

	private void flushReports(int rounds, Runnable done) {
		if (this.reporter.getPending() == 0 || rounds == 0) {
			this.loop.cancel(this.timer);
			done.run();
			return;
		}
		this.reporter.flush(List.of());
		this.loop.schedule(POLL_MILLIS, () -> flushReports(rounds - 1, done));
	}

	private void onArrival(RunnerState runner) {
		RunnerDispatcher dispatcher = this.dispatchers.get(runner.getMember().id());
		if (dispatcher != null) {
			dispatcher.adjust();
		}
	}

	private void poll() {
		if (this.stopped) {
			return;
		}
		try {
			refreshDispatchers();
			for (RunnerDispatcher dispatcher : this.dispatchers.values()) {
				dispatcher.adjust();
				requestWork(dispatcher);
			}
			List<Long> grants = new ArrayList<>();
			this.dispatchers.values().forEach((d) -> d.addGrants(grants));
			this.reporter.flush(grants);
			Map<String, Object> current = new TreeMap<>();
			this.dispatchers.forEach((id, dispatcher) -> current.put(id.value(), dispatcher.getStatistics()));
			current.put("unreported", this.reporter.getPending());
			this.statistics = current;
		}
		catch (RuntimeException ex) {
			LOG.log(OnlineEvent.TASK_FAILED, ex, "batch dispatch");
		}
	}

	private void refreshDispatchers() {
		Set<RunnerState> dispatchedHere = new HashSet<>(this.online.getDispatchedHere());
		this.dispatchers.values().removeIf((dispatcher) -> {
			boolean removed = !dispatchedHere.contains(dispatcher.getRunner());
			if (removed) {
				dispatcher.close();
			}
			return removed;
		});
		for (RunnerState runner : dispatchedHere) {
			this.dispatchers.computeIfAbsent(runner.getMember().id(),
					(id) -> new RunnerDispatcher(this.loop, this.ticker, runner, this.online, this.reporter::add));
		}
	}

	private void requestWork(RunnerDispatcher dispatcher) {
		UpstreamId id = dispatcher.getRunner().getMember().id();
		String service = dispatcher.getRunner().getMember().service().value();
		int demand = dispatcher.getItemDemand();
		long now = this.ticker.millis();
		if (demand == 0 || this.requesting.contains(id) || now < this.nextRequestMillis.getOrDefault(id, 0L)
				|| !this.source.hasPending(service)) {
			return;
		}
		this.requesting.add(id);
		WorkRequest request = WorkRequest.newBuilder()
			.setUpstream(id.value())
			.setService(service)
			.setMaxItems(demand)
			.setIsolated(dispatcher.hasNoOnlineWork())
			.build();
		this.source.request(request)
			.subscribe()
			.with((grant) -> this.loop.execute(() -> onGrant(id, grant)),
					(failure) -> this.loop.execute(() -> onRequestFailure(id, failure)));
	}

	private void onRequestFailure(UpstreamId id, Throwable failure) {
		LOG.log(OnlineEvent.WORK_EXCHANGE_FAILED, failure, id);
		onGrant(id, WorkGrant.getDefaultInstance());
	}

	private void onGrant(UpstreamId id, WorkGrant grant) {
		this.requesting.remove(id);
		if (grant.getItemsCount() == 0) {
			this.nextRequestMillis.put(id, this.ticker.millis() + EMPTY_GRANT_PAUSE_MILLIS);
		}
		RunnerDispatcher dispatcher = this.dispatchers.get(id);
		for (WorkItem item : grant.getItemsList()) {
			accept(dispatcher, item);
		}
		if (dispatcher != null) {
			dispatcher.adjust();
		}
	}

	private void accept(RunnerDispatcher dispatcher, WorkItem item) {
		if (dispatcher == null || this.stopped) {
			this.reporter.add(new BatchStream(item, null).outcome(WorkStatus.WORK_RETURNED, "").build());
			return;
		}
		String name = dispatcher.getRunner().getMember().id().value();
		try {
			CompletionBody body = parse(item);
			dispatcher.enqueue(new BatchStream(item, body), item.getSuspect());
		}
		catch (WigeongladeException ex) {
			this.reporter.add(new BatchStream(item, null).rejected(name, ex));
		}
	}

	private CompletionBody parse(WorkItem item) {
		JsonNode node = this.json.readObject(item.getBody().toByteArray());
		return CompletionBody.of(node, node.has("messages"));
	}

}
