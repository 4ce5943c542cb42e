package org.wigeonglade.core.admit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * Start-time fair queue (SFQ). Workspaces are flows that share capacity by weight and
 * cost; the entries of one workspace are ordered by deadline. Not thread-safe.
 *
 * @param <T> the type of the queued work
 */
public final class FairQueue<T> {

	private final int capacity;

	private final Map<WorkspaceId, Flow<T>> flows = new HashMap<>();

	private final TreeSet<Flow<T>> backlogged = new TreeSet<>(
			Comparator.<Flow<T>>comparingDouble((f) -> f.startTag).thenComparing((f) -> f.workspace));

	private double virtualTime;

	private long sequence;

	private int size;

	/**
	 * Creates an empty queue.
	 * @param capacity the largest number of entries, at least 1
	 */
	public FairQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Returns the number of entries.
	 * @return a count, at least 0
	 */
	public int getSize() {
		return this.size;
	}

	/**
	 * Returns the number of entries of a workspace.
	 * @param workspace the workspace, not null
	 * @return a count, at least 0
	 */
	public int getSize(WorkspaceId workspace) {
		Flow<T> flow = this.flows.get(workspace);
		return (flow != null) ? flow.entries.size() : 0;
	}

	/**
	 * Returns the sum of the weights of the workspaces with queued entries.
	 * @return the sum, 0 if the queue is empty
	 */
	public int getQueuedWeight() {
		return this.backlogged.stream().mapToInt((f) -> f.weight).sum();
	}

	/**
	 * Adds an entry. If that exceeds the capacity, the last entry of the workspace with
	 * the longest queue relative to its weight is evicted, which may be the new one.
	 * @param workspace the workspace, not null
	 * @param weight its weight in the fair share, at least 1
	 * @param cost the cost in tokens, above 0
	 * @param deadlineNanos the deadline, which orders the entries of a workspace
	 * @param work the work, not null
	 * @return the evicted work, empty if the queue was not full
	 */
	public Optional<T> offer(WorkspaceId workspace, int weight, double cost, long deadlineNanos, T work) {
		Flow<T> flow = this.flows.computeIfAbsent(workspace, Flow::new);
		flow.weight = weight;
		if (flow.entries.isEmpty()) {
			flow.startTag = Math.max(this.virtualTime, flow.startTag);
			this.backlogged.add(flow);
		}
		flow.entries.add(new Entry<>(work, cost, deadlineNanos, this.sequence++));
		this.size++;
		return (this.size > this.capacity) ? Optional.of(evict()) : Optional.empty();
	}

	/**
	 * Removes the next entry.
	 * @return the work, empty if the queue is empty
	 */
	public Optional<T> poll() {
		return poll((workspace) -> true);
	}

	/**
	 * Removes the next entry of the workspaces that may be served now.
	 * @param allowed whether a workspace may be served
	 * @return the work, empty if none may be served
	 */
	public Optional<T> poll(Predicate<WorkspaceId> allowed) {
		for (Flow<T> flow : this.backlogged) {
			if (allowed.test(flow.workspace)) {
				return Optional.of(dequeue(flow));
			}
		}
		return Optional.empty();
	}

	/**
	 * Charges work that was served without queuing, so that it counts towards the share
	 * of its workspace.
	 * @param workspace the workspace, not null
	 * @param weight its weight in the fair share, at least 1
	 * @param cost the cost in tokens, above 0
	 */
	public void charge(WorkspaceId workspace, int weight, double cost) {
		Flow<T> flow = this.flows.computeIfAbsent(workspace, Flow::new);
		boolean queued = this.backlogged.remove(flow);
		flow.startTag = Math.max(this.virtualTime, flow.startTag) + cost / weight;
		if (queued) {
			this.backlogged.add(flow);
		}
		else {
			removeIdleFlows();
		}
	}

	/**
	 * Removes an entry, such as that of a cancelled request.
	 * @param workspace the workspace, not null
	 * @param work the work, compared by identity
	 * @return whether it was queued
	 */
	public boolean remove(WorkspaceId workspace, T work) {
		Flow<T> flow = this.flows.get(workspace);
		if (flow == null || !flow.entries.removeIf((e) -> e.work == work)) {
			return false;
		}
		this.size--;
		if (flow.entries.isEmpty()) {
			this.backlogged.remove(flow);
		}
		return true;
	}

	/**
	 * Removes all entries that match a condition.
	 * @param condition the condition, not null
	 * @return the removed work
	 */
	public List<T> removeIf(Predicate<T> condition) {
		List<T> removed = new ArrayList<>();
		for (Flow<T> flow : List.copyOf(this.backlogged)) {
			flow.entries.removeIf((e) -> condition.test(e.work) && removed.add(e.work));
			if (flow.entries.isEmpty()) {
				this.backlogged.remove(flow);
			}
		}
		this.size -= removed.size();
		return removed;
	}

	private T dequeue(Flow<T> flow) {
		this.backlogged.remove(flow);
		Entry<T> entry = flow.entries.poll();
		this.size--;
		this.virtualTime = Math.max(this.virtualTime, flow.startTag);
		flow.startTag += entry.cost / flow.weight;
		if (!flow.entries.isEmpty()) {
			this.backlogged.add(flow);
		}
		return entry.work;
	}

	private T evict() {
		Flow<T> longest = this.backlogged.stream()
			.max(Comparator.<Flow<T>>comparingDouble((f) -> (double) f.entries.size() / f.weight)
				.thenComparing((f) -> f.workspace))
			.orElseThrow();
		Entry<T> last = longest.entries.stream().max(Entry.order()).orElseThrow();
		longest.entries.remove(last);
		this.size--;
		if (longest.entries.isEmpty()) {
			this.backlogged.remove(longest);
		}
		return last.work;
	}

	/**
	 * Removes workspaces that have no backlog and whose start tag is not ahead of the
	 * virtual time, so that memory is bounded by the active workspaces.
	 */
	private void removeIdleFlows() {
		if (this.flows.size() > 2 * this.capacity + 64) {
			this.flows.values().removeIf((f) -> f.entries.isEmpty() && f.startTag <= this.virtualTime);
		}
	}

	/** Queue and start tag of one workspace. */
	private static final class Flow<T> {

		private final WorkspaceId workspace;

		private final PriorityQueue<Entry<T>> entries = new PriorityQueue<>(Entry.order());

		private double startTag;

		private int weight = 1;

		private Flow(WorkspaceId workspace) {
			this.workspace = workspace;
		}

	}

	private record Entry<T>(T work, double cost, long deadlineNanos, long sequence) {

		private static <T> Comparator<Entry<T>> order() {
			return (a, b) -> {
				int byDeadline = Long.compare(a.deadlineNanos - b.deadlineNanos, 0);
				return (byDeadline != 0) ? byDeadline : Long.compare(a.sequence, b.sequence);
			};
		}

	}

}
