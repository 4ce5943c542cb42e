package org.wigeonglade.bench.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkResult;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Stands for the dispatchers of runners: pulls items, runs them in no time and reports.
 * Counts the runs of each item.
 */
public final class WorkerPool implements AutoCloseable {

	private final BatchFleet fleet;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final List<Thread> threads = new ArrayList<>();

	private final Function<WorkItem, WorkOutcome.Builder> runner;

	private final int itemsPerRequest;

	private volatile boolean stopped;

	/**
	 * Creates a pool without workers.
	 * @param fleet the fleet
	 * @param itemsPerRequest items asked for at once
	 * @param runner runs an item; may throw to stand for a lost dispatcher
	 */
	public WorkerPool(BatchFleet fleet, int itemsPerRequest, Function<WorkItem, WorkOutcome.Builder> runner) {
		this.fleet = fleet;
		this.itemsPerRequest = itemsPerRequest;
		this.runner = runner;
	}

	/**
	 * Returns the result of a successful run.
	 * @param item the item
	 * @return a completed outcome
	 */
	public static WorkOutcome.Builder complete(WorkItem item) {
		return WorkOutcome.newBuilder()
			.setStatus(WorkStatus.WORK_COMPLETED)
			.setResult(ByteString.copyFromUtf8("{\"text\":\"done " + item.getCustomId() + "\"}"))
			.setTokens(16)
			.setUpstream("runner");
	}

	/**
	 * Starts a worker on a host.
	 * @param host the host
	 * @param service the service
	 * @param isolated whether its runner has no online work
	 */
	public void start(String host, String service, boolean isolated) {
		Thread thread = Thread.ofPlatform()
			.daemon()
			.name("worker-" + host)
			.unstarted(() -> work(host, service, isolated));
		this.threads.add(thread);
		thread.start();
	}

	/**
	 * Returns the runs of each item by job and index.
	 * @return a live view
	 */
	public Map<String, AtomicInteger> runs() {
		return this.runs;
	}

	@Override
	public void close() {
		this.stopped = true;
		this.threads.forEach(Thread::interrupt);
	}

	private void work(String host, String service, boolean isolated) {
		WorkRequest request = WorkRequest.newBuilder()
			.setService(service)
			.setUpstream("runner-" + host)
			.setMaxItems(this.itemsPerRequest)
			.setIsolated(isolated)
			.build();
		while (!this.stopped && this.fleet.live().contains(host)) {
			try {
				WorkSource source = this.fleet.get(host).workSource();
				WorkGrant grant = source.request(request).await().atMost(Duration.ofSeconds(5));
				if (grant.getItemsCount() == 0) {
					Thread.sleep(5);
				}
				else {
					report(source, run(grant));
				}
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				// A worker of a killed host loses its items.
				continue;
			}
		}
	}

	private List<WorkOutcome> run(WorkGrant grant) {
		List<WorkOutcome> outcomes = new ArrayList<>();
		for (WorkItem item : grant.getItemsList()) {
			this.runs.computeIfAbsent(item.getBatchId() + "/" + item.getIndex(), (key) -> new AtomicInteger())
				.incrementAndGet();
			outcomes.add(this.runner.apply(item)
				.setPartition(item.getPartition())
				.setTerm(item.getTerm())
				.setBatchId(item.getBatchId())
				.setIndex(item.getIndex())
				.setGrantId(item.getGrantId())
				.build());
		}
		return outcomes;
	}

	private void report(WorkSource source, List<WorkOutcome> outcomes) throws InterruptedException {
		List<WorkOutcome> rest = outcomes;
		for (int attempt = 0; attempt < 200 && !rest.isEmpty() && !this.stopped; attempt++) {
			WorkAck ack = source.report(WorkResult.newBuilder().addAllOutcomes(rest).build())
				.await()
				.atMost(Duration.ofSeconds(5));
			rest = rest.stream().filter((o) -> !ack.getAcceptedGrantsList().contains(o.getGrantId())).toList();
			if (!rest.isEmpty()) {
				Thread.sleep(20);
			}
		}
	}

}
