package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonglade.bench.history.HistoryEntry.EngineWork;
import org.wigeonglade.bench.history.HistoryEntry.JobAccepted;

/**
 * Checks P3 over the engines' ledgers. An online request that finds its engine full of
 * batch work waits until a batch stream is cancelled; it must not wait for longer than
 * {@link #PREEMPTION_BOUND}, and no batch item may get a slot before it and keep it.
 */
final class BlockingChecker {

	/**
	 * Time in which batch work makes room: two one-way trips between failure domains with
	 * ample room for a busy machine, and less than a tenth of the target for the first
	 * token.
	 */
	static final Duration PREEMPTION_BOUND = Duration.ofMillis(50);

	private final Set<String> batchPrompts;

	private final List<String> evidence;

	private final Set<String> runningBatch = new HashSet<>();

	private final Map<String, Waiting> waiting = new HashMap<>();

	private BlockingChecker(Set<String> batchPrompts, List<String> evidence) {
		this.batchPrompts = batchPrompts;
		this.evidence = evidence;
	}

	static List<String> check(History history) {
		Set<String> batchPrompts = new HashSet<>();
		history.of(JobAccepted.class).forEach((job) -> batchPrompts.addAll(job.prompts().values()));
		List<String> evidence = new ArrayList<>();
		Map<String, BlockingChecker> engines = new HashMap<>();
		history.of(EngineWork.class)
			.forEach((work) -> engines
				.computeIfAbsent(work.engine(), (ignored) -> new BlockingChecker(batchPrompts, evidence))
				.accept(work));
		return evidence;
	}

	private void accept(EngineWork work) {
		if (this.batchPrompts.contains(work.prompt())) {
			acceptBatch(work);
		}
		else {
			acceptOnline(work);
		}
	}

	private void acceptBatch(EngineWork work) {
		switch (work.kind()) {
			case "STARTED" -> {
				this.runningBatch.add(work.requestId());
				this.waiting.values().forEach((request) -> request.overtakenBy.put(work.requestId(), work.prompt()));
			}
			case "COMPLETED", "CANCELLED", "LOST" -> {
				this.runningBatch.remove(work.requestId());
				if (!work.kind().equals("COMPLETED")) {
					this.waiting.values().forEach((request) -> request.overtakenBy.remove(work.requestId()));
				}
			}
			default -> {
				// A queued item holds no slot.
			}
		}
	}

	private void acceptOnline(EngineWork work) {
		if (work.kind().equals("QUEUED")) {
			this.waiting.put(work.requestId(), new Waiting(work.nanos(), !this.runningBatch.isEmpty()));
			return;
		}
		Waiting request = this.waiting.remove(work.requestId());
		if (request == null) {
			return;
		}
		long waited = work.nanos() - request.sinceNanos;
		boolean behindBatch = request.foundBatch || !request.overtakenBy.isEmpty();
		if (behindBatch && waited > PREEMPTION_BOUND.toNanos()) {
			this.evidence.add("an online request waited " + waited / 1_000_000 + " ms at " + work.engine()
					+ ", which ran batch work: " + work.prompt());
		}
		else if (!request.overtakenBy.isEmpty()) {
			this.evidence.add("batch work got a slot of " + work.engine() + " before an online request that waited: "
					+ work.prompt());
		}
	}

	private static final class Waiting {

		private final long sinceNanos;

		private final boolean foundBatch;

		private final Map<String, String> overtakenBy = new HashMap<>();

		private Waiting(long sinceNanos, boolean foundBatch) {
			this.sinceNanos = sinceNanos;
			this.foundBatch = foundBatch;
		}

	}

}
