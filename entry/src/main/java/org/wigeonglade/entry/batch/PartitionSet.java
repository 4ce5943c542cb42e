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
 * Agents of the partitions that this host owns, may own soon or was asked about, on a
 * fixed number of lanes. Thread-safe.
 */
final class PartitionSet {

	private static final int EXECUTOR_COUNT = 2;

	private static final long CACHE_BYTES = 32L * 1024 * 1024;

	private static final long MAX_TICK_MILLIS = 250;

	private static final long MIN_TICK_MILLIS = 5;

	/**
	 * An agent that nobody asked and that is no candidate frees its memory after this.
	 */
	private static final long IDLE_MILLIS = 60_000;

	/** Appends of hosts that own nothing, as a share of the budget. */
	private static final double DIRECT_SHARE = 0.1;

	private static final double MIN_RATE = 0.5;

	private final BatchRuntimeBuilder settings;

	private final BatchPolicy policy;

	private final RankTable ranks;

	private final WriterIdentity identity;

	private final List<SingleThreadExecutor> executors = new ArrayList<>();

	private final AppendPacer pacer = new AppendPacer(MIN_RATE);

	private final RecordCache cache;

	private final SnapshotDirectory snapshots;

	private final LogWriter pointers;

	private final Map<Integer, PartitionAgent> agents = new ConcurrentHashMap<>();

	private final Map<Integer, AtomicLong> lastUse = new ConcurrentHashMap<>();

	private volatile long claimAfterMillis;

	private volatile boolean closed;

	PartitionSet(BatchRuntimeBuilder settings, BatchPolicy policy, RankTable ranks) {
		this.settings = settings;
		this.policy = policy;
		this.ranks = ranks;
		String host = settings.getSettings().getHost();
		this.identity = new WriterIdentity(host, settings.getIncarnation());
		for (int i = 0; i < EXECUTOR_COUNT; i++) {
			this.executors.add(new SingleThreadExecutor("batch-" + host + "-" + i));
		}
		this.cache = new RecordCache(settings.getLog(), CACHE_BYTES);
		// The control stream has another writer on this host, so that this one needs a
		// name
		// of its own.
		this.pointers = new LogWriter(SnapshotDirectory.CONTROL,
				new WriterIdentity(host + ".snapshots", settings.getIncarnation()), settings.getLog(), getExecutor(0),
				settings.getTicker(), this.pacer, settings.getOptions().writer(), new Random(), () -> -1);
		this.snapshots = new SnapshotDirectory(settings.getLog(), this.pointers);
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

	SerialExecutor getExecutor(int partition) {
		return this.executors.get(partition % EXECUTOR_COUNT);
	}

	void start() {
		this.claimAfterMillis = this.settings.getTicker().millis() + this.settings.getOptions().lease().toMillis() / 2;
		for (int lane = 0; lane < EXECUTOR_COUNT; lane++) {
			tick(lane);
		}
	}

	PartitionAgent agent(int partition) {
		this.lastUse.computeIfAbsent(partition, (key) -> new AtomicLong()).set(this.settings.getTicker().millis());
		return this.agents.computeIfAbsent(partition, this::create);
	}

	Optional<HostId> readOwner(int partition) {
		return Optional.ofNullable(this.agents.get(partition)).flatMap(PartitionAgent::getLastReadOwner);
	}

	boolean isOwned(int partition) {
		PartitionAgent agent = this.agents.get(partition);
		return agent != null && agent.getPublishedView().isPresent();
	}

	List<PartitionView> owned() {
		return this.agents.values().stream().flatMap((agent) -> agent.getPublishedView().stream()).toList();
	}

	long getAppends() {
		return this.pointers.getAppends() + this.agents.values().stream().mapToLong(PartitionAgent::getAppends).sum();
	}

	Uni<Void> stop(Duration limit) {
		List<Uni<Void>> stops = this.agents.values().stream().map((agent) -> agent.stop(limit)).toList();
		Uni<Void> all = stops.isEmpty() ? Uni.createFrom().voidItem()
				: Uni.join().all(stops).andCollectFailures().replaceWithVoid();
		return all.onTermination().invoke(this::close);
	}

	void close() {
		this.closed = true;
		this.pointers.close();
		this.agents.values().forEach(PartitionAgent::close);
		this.executors.forEach(SingleThreadExecutor::close);
	}

	private PartitionAgent create(int partition) {
		return new PartitionAgent(new PartitionContext(partition, StreamName.of(PartitionRouter.streamOf(partition)),
				this.identity, this.settings.getLog(), getExecutor(partition), this.settings.getTicker(), this.pacer,
				this.cache, this.policy, this.settings.getOptions(), new Random(), () -> this.snapshots.find(partition),
				(offset) -> this.snapshots.publish(partition, offset), this.settings.getAccount()));
	}

	private void tick(int lane) {
		if (this.closed) {
			return;
		}
		try {
			FleetView view = this.settings.getFleet().current();
			setRate(view);
			for (int partition = lane; partition < this.policy.getPartitions(); partition += EXECUTOR_COUNT) {
				tick(partition, view);
			}
		}
		finally {
			long poll = this.settings.getOptions().poll().toMillis() / 2;
			long wait = Math.max(MIN_TICK_MILLIS, Math.min(MAX_TICK_MILLIS, poll));
			this.executors.get(lane).schedule(Duration.ofMillis(wait), () -> tick(lane));
		}
	}

	private void tick(int partition, FleetView view) {
		List<HostId> ranked = this.ranks.rank(partition, view);
		int rank = ranked.indexOf(HostId.of(this.identity.host()));
		PartitionAgent agent = this.agents.get(partition);
		long now = this.settings.getTicker().millis();
		boolean candidate = now >= this.claimAfterMillis && (rank == 0 || rank == 1);
		if (agent == null && candidate) {
			agent = this.agents.computeIfAbsent(partition, this::create);
		}
		if (agent == null) {
			return;
		}
		agent.tick(view, (now >= this.claimAfterMillis) ? ranked : List.of());
		AtomicLong used = this.lastUse.get(partition);
		if (!candidate && agent.isEvictable() && (used == null || now - used.get() > IDLE_MILLIS)
				&& this.agents.remove(partition, agent)) {
			agent.close();
		}
	}

	// Owners write nearly everything, so that they share the budget; at most as many
	// hosts
	// as there are partitions own one.
	private void setRate(FleetView view) {
		int live = Math.max(1, view.hosts().size());
		double budget = this.policy.getAppendsPerSecond();
		double rate = owned().isEmpty() ? DIRECT_SHARE * budget / live
				: (1.0 - DIRECT_SHARE) * budget / Math.min(live, this.policy.getPartitions());
		this.pacer.setRate(Math.max(MIN_RATE, rate));
	}

}
