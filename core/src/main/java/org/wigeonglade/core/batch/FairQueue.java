package org.wigeonglade.core.batch;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Waiting items of one service: start-time fair queueing by tokens between workspaces,
 * due time inside a workspace. Suspects are kept apart.
 */
final class FairQueue {

	/** A job in the last fifth of its time counts as urgent. */
	private static final double URGENT_SHARE = 0.2;

	/** An urgent job gets this many shares of its workspace. */
	private static final double URGENT_WEIGHT = 4.0;

	private static final Comparator<JobQueue> BY_DUE = Comparator
		.comparingLong((JobQueue queue) -> queue.getJob().getAccepted().getDueWallTimeMs())
		.thenComparingLong((queue) -> queue.getJob().getAcceptedOffset())
		.thenComparing((queue) -> queue.getJob().getId());

	private final ToIntFunction<String> weights;

	private final Map<String, Share> shares = new HashMap<>();

	private final Deque<Item> suspects = new ArrayDeque<>();

	private double virtualTime;

	FairQueue(ToIntFunction<String> weights) {
		this.weights = weights;
	}

	void add(JobQueue queue) {
		if (!queue.isEmpty()) {
			this.shares.computeIfAbsent(queue.getJob().getAccepted().getWorkspace(), (name) -> new Share()).jobs
				.add(queue);
		}
	}

	void addSuspect(JobQueue queue, int index) {
		this.suspects.add(new Item(queue, index, 0));
	}

	void remove(JobQueue queue) {
		Share share = this.shares.get(queue.getJob().getAccepted().getWorkspace());
		if (share != null) {
			share.jobs.remove(queue);
		}
		this.suspects.removeIf((item) -> item.queue() == queue);
	}

	Item pollSuspect() {
		while (!this.suspects.isEmpty()) {
			Item item = this.suspects.poll();
			if (!item.queue().isTaken(item.index()) && ItemState.isOpen(item.queue().getJob().getState(item.index()))) {
				item.queue().take(item.index());
				return item;
			}
		}
		return null;
	}

	Item poll(long nowWallMillis) {
		while (true) {
			String workspace = first();
			if (workspace == null) {
				return null;
			}
			Share share = this.shares.get(workspace);
			JobQueue queue = share.jobs.first();
			int index = queue.poll();
			if (index < 0) {
				share.jobs.remove(queue);
				continue;
			}
			double weight = this.weights.applyAsInt(workspace) * urgency(queue.getJob(), nowWallMillis);
			double cost = queue.getTokenEstimate() / weight;
			double start = Math.max(this.virtualTime, share.finish);
			this.virtualTime = start;
			share.finish = start + cost;
			return new Item(queue, index, queue.getTokenEstimate());
		}
	}

	void correct(JobQueue queue, double charged, long tokens) {
		String workspace = queue.getJob().getAccepted().getWorkspace();
		Share share = this.shares.get(workspace);
		if (share != null) {
			share.finish += (tokens - charged) / this.weights.applyAsInt(workspace);
		}
		queue.learnTokens(tokens);
	}

	boolean isEmpty() {
		return this.suspects.isEmpty() && first() == null;
	}

	private String first() {
		String best = null;
		double bestStart = Double.MAX_VALUE;
		for (Map.Entry<String, Share> entry : this.shares.entrySet()) {
			TreeSet<JobQueue> jobs = entry.getValue().jobs;
			while (!jobs.isEmpty() && jobs.first().isEmpty()) {
				jobs.pollFirst();
			}
			double start = Math.max(this.virtualTime, entry.getValue().finish);
			if (!jobs.isEmpty() && (start < bestStart || (start == bestStart && entry.getKey().compareTo(best) < 0))) {
				best = entry.getKey();
				bestStart = start;
			}
		}
		return best;
	}

	private static double urgency(JobState job, long nowWallMillis) {
		long due = job.getAccepted().getDueWallTimeMs();
		long window = due - job.getAccepted().getAcceptedWallTimeMs();
		return (due - nowWallMillis < window * URGENT_SHARE) ? URGENT_WEIGHT : 1.0;
	}

	/**
	 * One item that was taken.
	 *
	 * @param queue its job
	 * @param index its index
	 * @param charged the tokens that its workspace was charged
	 */
	record Item(JobQueue queue, int index, double charged) {
	}

	/**
	 * Jobs and consumption of one workspace.
	 */
	private static final class Share {

		private final TreeSet<JobQueue> jobs = new TreeSet<>(BY_DUE);

		private double finish;

	}

}
