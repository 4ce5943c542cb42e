package org.wigeonglade.core.batch;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Queue of the waiting items of one service. Workspaces share it by start-time fair
 * queueing (SFQ) with the estimated tokens as cost; within a workspace, the job with the
 * earliest due time is first. Suspects, items that were running on an upstream when it
 * was lost, have a queue of their own.
 */
final class FairItemQueue {

	/**
	 * A job is urgent when less than this fraction of the time from acceptance to due
	 * time is left.
	 */
	private static final double URGENT_TIME_FRACTION = 0.2;

	/** Factor on the weight of a workspace while an urgent job of it is served. */
	private static final double URGENT_WEIGHT = 4.0;

	private static final Comparator<JobQueue> BY_DUE_TIME = Comparator
		.comparingLong((JobQueue queue) -> queue.getJob().getAccepted().getDueWallTimeMs())
		.thenComparingLong((queue) -> queue.getJob().getAcceptedOffset())
		.thenComparing((queue) -> queue.getJob().getId());

	private final ToIntFunction<String> weights;

	private final Map<String, WorkspaceQueue> workspaces = new HashMap<>();

	private final Deque<Item> suspects = new ArrayDeque<>();

	private long suspectsSinceMillis = -1;

	private double virtualTime;

	FairItemQueue(ToIntFunction<String> weights) {
		this.weights = weights;
	}

	void add(JobQueue queue) {
		if (!queue.isEmpty()) {
			this.workspaces.computeIfAbsent(queue.getJob().getAccepted().getWorkspace(),
					(name) -> new WorkspaceQueue()).jobs
				.add(queue);
		}
	}

	void addSuspect(JobQueue queue, int index) {
		this.suspects.add(new Item(queue, index, 0));
	}

	void remove(JobQueue queue) {
		WorkspaceQueue workspaceQueue = this.workspaces.get(queue.getJob().getAccepted().getWorkspace());
		if (workspaceQueue != null) {
			workspaceQueue.jobs.remove(queue);
		}
		this.suspects.removeIf((item) -> item.queue() == queue);
	}

	// Returns how long there have been suspects at the calls of this method.
	long getSuspectWaitMillis(long nowMillis) {
		if (this.suspects.isEmpty()) {
			this.suspectsSinceMillis = -1;
			return 0;
		}
		if (this.suspectsSinceMillis < 0) {
			this.suspectsSinceMillis = nowMillis;
		}
		return nowMillis - this.suspectsSinceMillis;
	}

	Item pollSuspect() {
		while (!this.suspects.isEmpty()) {
			Item item = this.suspects.poll();
			if (!item.queue().isReserved(item.index())
					&& ItemState.isOpen(item.queue().getJob().getState(item.index()))) {
				item.queue().reserve(item.index());
				return item;
			}
		}
		return null;
	}

	Item poll(long nowWallMillis) {
		while (true) {
			String workspace = findNextWorkspace();
			if (workspace == null) {
				return null;
			}
			WorkspaceQueue workspaceQueue = this.workspaces.get(workspace);
			JobQueue queue = workspaceQueue.jobs.first();
			int index = queue.poll();
			if (index < 0) {
				workspaceQueue.jobs.remove(queue);
				continue;
			}
			double weight = this.weights.applyAsInt(workspace) * urgencyWeight(queue.getJob(), nowWallMillis);
			double virtualCost = queue.getTokenEstimate() / weight;
			double startTag = Math.max(this.virtualTime, workspaceQueue.finishTag);
			this.virtualTime = startTag;
			workspaceQueue.finishTag = startTag + virtualCost;
			return new Item(queue, index, queue.getTokenEstimate());
		}
	}

	void adjustCharge(JobQueue queue, double chargedTokens, long tokens) {
		String workspace = queue.getJob().getAccepted().getWorkspace();
		WorkspaceQueue workspaceQueue = this.workspaces.get(workspace);
		if (workspaceQueue != null) {
			workspaceQueue.finishTag += (tokens - chargedTokens) / this.weights.applyAsInt(workspace);
		}
		queue.updateTokenEstimate(tokens);
	}

	boolean isEmpty() {
		return this.suspects.isEmpty() && findNextWorkspace() == null;
	}

	private String findNextWorkspace() {
		String next = null;
		double nextStartTag = Double.MAX_VALUE;
		for (Map.Entry<String, WorkspaceQueue> entry : this.workspaces.entrySet()) {
			TreeSet<JobQueue> jobs = entry.getValue().jobs;
			while (!jobs.isEmpty() && jobs.first().isEmpty()) {
				jobs.pollFirst();
			}
			double startTag = Math.max(this.virtualTime, entry.getValue().finishTag);
			if (!jobs.isEmpty()
					&& (startTag < nextStartTag || (startTag == nextStartTag && entry.getKey().compareTo(next) < 0))) {
				next = entry.getKey();
				nextStartTag = startTag;
			}
		}
		return next;
	}

	private static double urgencyWeight(JobState job, long nowWallMillis) {
		long dueWallMillis = job.getAccepted().getDueWallTimeMs();
		long allowedMillis = dueWallMillis - job.getAccepted().getAcceptedWallTimeMs();
		return (dueWallMillis - nowWallMillis < allowedMillis * URGENT_TIME_FRACTION) ? URGENT_WEIGHT : 1.0;
	}

	/**
	 * An item removed from the queue.
	 *
	 * @param queue the queue of its job
	 * @param index the index of the item in its job
	 * @param chargedTokens the estimated tokens charged to its workspace, 0 for suspects
	 */
	record Item(JobQueue queue, int index, double chargedTokens) {
	}

	/**
	 * Waiting jobs of one workspace and its SFQ finish tag.
	 */
	private static final class WorkspaceQueue {

		private final TreeSet<JobQueue> jobs = new TreeSet<>(BY_DUE_TIME);

		private double finishTag;

	}

}
