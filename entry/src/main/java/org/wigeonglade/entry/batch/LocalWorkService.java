package org.wigeonglade.entry.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.GrantIds;
import org.wigeonglade.core.batch.PartitionAgent;
import org.wigeonglade.core.batch.SerialExecutor;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkResult;

/**
 * Grants items of the partitions that this host owns and accepts their results. Accesses
 * each partition on its own executor. Thread-safe.
 */
final class LocalWorkService {

	private final Supplier<Map<Integer, PartitionAgent>> agents;

	private final Function<Integer, SerialExecutor> executors;

	private final long leaseMillis;

	private final AtomicInteger cursor = new AtomicInteger();

	LocalWorkService(Supplier<Map<Integer, PartitionAgent>> agents, Function<Integer, SerialExecutor> executors,
			long leaseMillis) {
		this.agents = agents;
		this.executors = executors;
		this.leaseMillis = leaseMillis;
	}

	boolean hasPending(String service) {
		return this.agents.get().values().stream().anyMatch((agent) -> agent.hasWaiting(service));
	}

	Uni<WorkGrant> request(WorkRequest request) {
		List<Integer> waiting = this.agents.get()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().hasWaiting(request.getService()))
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
		Uni<List<WorkItem>> chain = Uni.createFrom().item(new ArrayList<>());
		int start = waiting.isEmpty() ? 0 : Math.floorMod(this.cursor.getAndIncrement(), waiting.size());
		for (int i = 0; i < waiting.size(); i++) {
			int partition = waiting.get((start + i) % waiting.size());
			chain = chain.chain((items) -> grantMore(partition, items, request));
		}
		return chain.map((items) -> WorkGrant.newBuilder().addAllItems(items).setWorkLeaseMs(this.leaseMillis).build());
	}

	Uni<WorkAck> report(WorkResult result) {
		Map<Integer, List<WorkOutcome>> outcomes = new HashMap<>();
		result.getOutcomesList()
			.forEach((outcome) -> outcomes.computeIfAbsent(outcome.getPartition(), (key) -> new ArrayList<>())
				.add(outcome));
		Map<Integer, List<Long>> running = new HashMap<>();
		result.getRunningGrantsList()
			.forEach((grant) -> running.computeIfAbsent(GrantIds.partitionOf(grant), (key) -> new ArrayList<>())
				.add(grant));
		Set<Integer> partitions = new TreeSet<>(outcomes.keySet());
		partitions.addAll(running.keySet());
		Uni<WorkAck> chain = Uni.createFrom().item(WorkAck.getDefaultInstance());
		for (int partition : partitions) {
			chain = chain.chain((ack) -> report(partition, ack, outcomes.getOrDefault(partition, List.of()),
					running.getOrDefault(partition, List.of())));
		}
		return chain;
	}

	private Uni<WorkAck> report(int partition, WorkAck ack, Collection<WorkOutcome> outcomes, List<Long> running) {
		PartitionAgent agent = this.agents.get().get(partition);
		if (agent == null) {
			return Uni.createFrom().item(ack);
		}
		return Uni.createFrom().item(() -> {
			WorkAck.Builder builder = ack.toBuilder();
			agent.report(List.copyOf(outcomes), running, builder);
			return builder.build();
		}).runSubscriptionOn(this.executors.apply(partition));
	}

	private Uni<List<WorkItem>> grantMore(int partition, List<WorkItem> items, WorkRequest request) {
		int wanted = request.getMaxItems() - items.size();
		PartitionAgent agent = this.agents.get().get(partition);
		boolean containsSuspect = items.stream().anyMatch(WorkItem::getSuspect);
		if (wanted <= 0 || containsSuspect || agent == null) {
			return Uni.createFrom().item(items);
		}
		// An item suspected of crashing its runner must be the only one in a grant, so
		// none is requested once other items were granted.
		WorkRequest rest = request.toBuilder()
			.setMaxItems(wanted)
			.setIsolated(request.getIsolated() && items.isEmpty())
			.build();
		return Uni.createFrom()
			.deferred(() -> agent.grant(rest))
			.runSubscriptionOn(this.executors.apply(partition))
			.map((granted) -> {
				items.addAll(granted);
				return items;
			});
	}

}
