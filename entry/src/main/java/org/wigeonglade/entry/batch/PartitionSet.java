package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.AppendPacer;
import org.wigeonglade.core.batch.BatchPolicy;
import org.wigeonglade.core.batch.LogWriter;
import org.wigeonglade.core.batch.PartitionAgent;
import org.wigeonglade.core.batch.PartitionContext;
import org.wigeonglade.core.batch.RecordCache;
import org.wigeonglade.core.batch.SerialExecutor;
import org.wigeonglade.core.batch.WriterIdentity;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.schema.generated.peer.PartitionView;

/**
 * Agents of the partitions that this host owns, is a candidate for or has recently
 * accessed. They run on a fixed number of single-thread executors. Thread-safe.
 */
final class PartitionSet {

	private static final int EXECUTOR_COUNT = 2;

	private static final long CACHE_BYTES = 32L * 1024 * 1024;

	private static final long MAX_TICK_INTERVAL_MILLIS = 250;

	private static final long MIN_TICK_INTERVAL_MILLIS = 5;

	/** An agent unused for this time is evicted, unless this host may become owner. */
	private static final long IDLE_TIMEOUT_MILLIS = 60_000;

	/** Share of the append budget for the hosts that own no partition. */
	private static final double NON_OWNER_SHARE = 0.1;

	private static final double MIN_APPENDS_PER_SECOND = 0.5;

	private final BatchRuntimeBuilder builder;

	private final BatchPolicy policy;

	private final PartitionRankingCache rankings;

	private final WriterIdentity identity;

	private final List<SingleThreadExecutor> executors = new ArrayList<>();

	private final AppendPacer pacer = new AppendPacer(MIN_APPENDS_PER_SECOND);

	private final RecordCache cache;

	private final SnapshotPointerStore snapshots;

	private final LogWriter pointerWriter;

	private final Map<Integer, PartitionAgent> agents = new ConcurrentHashMap<>();

	private final Map<Integer, AtomicLong> lastUsedMillis = new ConcurrentHashMap<>();

	private volatile long earliestClaimMillis;

	private volatile boolean closed;

	PartitionSet(BatchRuntimeBuilder builder, BatchPolicy policy, PartitionRankingCache rankings) {
		this.builder = builder;
		this.policy = policy;
		this.rankings = rankings;
		String host = builder.getSettings().getHost();
		this.identity = new WriterIdentity(host, builder.getIncarnation());
		for (int i = 0; i < EXECUTOR_COUNT; i++) {
			this.executors.add(new SingleThreadExecutor("batch-" + host + "-" + i));
		}
		this.cache = new RecordCache(builder.getLog(), CACHE_BYTES);
		// This host has another writer on the control stream, so that this one needs an
		// identity of its own.
		this.pointerWriter = new LogWriter(SnapshotPointerStore.CONTROL_STREAM,
				new WriterIdentity(host + ".snapshots", builder.getIncarnation()), builder.getLog(), executor(0),
				builder.getTicker(), this.pacer, builder.getOptions().writer(), new Random(), () -> -1);
		this.snapshots = new SnapshotPointerStore(builder.getLog(), this.pointerWriter);
	}

	WriterIdentity getIdentity() {
		return this.identity;
	}

	RecordCache getCache() {
		return this.cache;
	}

	Map<Integer, PartitionAgent> getAgents() {
		return this.agents;
	}

	SerialExecutor executor(int partition) {
		return this.executors.get(partition % EXECUTOR_COUNT);
	}

	void start() {
		this.earliestClaimMillis = this.builder.getTicker().millis() + this.builder.getOptions().lease().toMillis() / 2;
		for (int index = 0; index < EXECUTOR_COUNT; index++) {
			tick(index);
		}
	}

	PartitionAgent agent(int partition) {
		this.lastUsedMillis.computeIfAbsent(partition, (key) -> new AtomicLong())
			.set(this.builder.getTicker().millis());
		return this.agents.computeIfAbsent(partition, this::create);
	}

	Optional<HostId> getLastReadOwner(int partition) {
		return Optional.ofNullable(this.agents.get(partition)).flatMap(PartitionAgent::getLastReadOwner);
	}

	boolean isOwned(int partition) {
		PartitionAgent agent = this.agents.get(partition);
		return agent != null && agent.getPublishedView().isPresent();
	}

	List<PartitionView> getOwnedViews() {
		return this.agents.values().stream().flatMap((agent) -> agent.getPublishedView().stream()).toList();
	}

	long getAppends() {
		return this.pointerWriter.getAppends()
				+ this.agents.values().stream().mapToLong(PartitionAgent::getAppends).sum();
	}

	Uni<Void> stop(Duration timeout) {
		List<Uni<Void>> stops = this.agents.values().stream().map((agent) -> agent.stop(timeout)).toList();
		Uni<Void> all = stops.isEmpty() ? Uni.createFrom().voidItem()
				: Uni.join().all(stops).andCollectFailures().replaceWithVoid();
		return all.onTermination().invoke(this::close);
	}

	void close() {
		this.closed = true;
		this.pointerWriter.close();
		this.agents.values().forEach(PartitionAgent::close);
		this.executors.forEach(SingleThreadExecutor::close);
	}

	private PartitionAgent create(int partition) {
		return new PartitionAgent(new PartitionContext(partition, StreamName.of(PartitionRouter.streamOf(partition)),
				this.identity, this.builder.getLog(), executor(partition), this.builder.getTicker(), this.pacer,
				this.cache, this.policy, this.builder.getOptions(), new Random(),
				() -> this.snapshots.findLastOffset(partition), (offset) -> this.snapshots.publish(partition, offset),
				this.builder.getAccount()));
	}

	private void tick(int executorIndex) {
		if (this.closed) {
			return;
		}
		try {
			FleetView view = this.builder.getFleet().current();
			updateAppendRate(view);
			for (int partition = executorIndex; partition < this.policy.getPartitions(); partition += EXECUTOR_COUNT) {
				tick(partition, view);
			}
		}
		finally {
			long poll = this.builder.getOptions().poll().toMillis() / 2;
			long delay = Math.max(MIN_TICK_INTERVAL_MILLIS, Math.min(MAX_TICK_INTERVAL_MILLIS, poll));
			this.executors.get(executorIndex).schedule(Duration.ofMillis(delay), () -> tick(executorIndex));
		}
	}

	private void tick(int partition, FleetView view) {
		List<HostId> ranked = this.rankings.rank(partition, view);
		int rank = ranked.indexOf(HostId.of(this.identity.host()));
		PartitionAgent agent = this.agents.get(partition);
		long now = this.builder.getTicker().millis();
		boolean candidate = now >= this.earliestClaimMillis && (rank == 0 || rank == 1);
		if (agent == null && candidate) {
			agent = this.agents.computeIfAbsent(partition, this::create);
		}
		if (agent == null) {
			return;
		}
		agent.tick(view, (now >= this.earliestClaimMillis) ? ranked : List.of());
		AtomicLong lastUsed = this.lastUsedMillis.get(partition);
		if (!candidate && agent.isEvictable() && (lastUsed == null || now - lastUsed.get() > IDLE_TIMEOUT_MILLIS)
				&& this.agents.remove(partition, agent)) {
			agent.close();
		}
	}

	// Owners append nearly all records, so they share most of the budget. There are at
	// most as many owners as partitions.
	private void updateAppendRate(FleetView view) {
		int live = Math.max(1, view.hosts().size());
		double budget = this.policy.getAppendsPerSecond();
		double rate = getOwnedViews().isEmpty() ? NON_OWNER_SHARE * budget / live
				: (1.0 - NON_OWNER_SHARE) * budget / Math.min(live, this.policy.getPartitions());
		this.pacer.setRate(Math.max(MIN_APPENDS_PER_SECOND, rate));
	}

}
