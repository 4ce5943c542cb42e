package org.wigeonglade.bench.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A modelled runner: runs as many requests as it has slots, and queues others in order of
 * arrival.
 */
final class ModelRunner {

	private final int slots;

	private final int queueLimit;

	private final List<ModelWork> running = new ArrayList<>();

	private final Deque<ModelWork> queue = new ArrayDeque<>();

	// A runner with all slots and places of its queue in use declines.
	ModelRunner(int slots, int queueLimit) {
		this.slots = slots;
		this.queueLimit = queueLimit;
	}

	// Returns false if the runner declines.
	boolean arrive(ModelWork work) {
		if (this.running.size() + this.queue.size() >= this.slots + this.queueLimit) {
			return false;
		}
		this.queue.add(work);
		return true;
	}

	// Returns the next request that begins to run, or null.
	ModelWork startNext() {
		if (this.running.size() >= this.slots || this.queue.isEmpty()) {
			return null;
		}
		ModelWork next = this.queue.poll();
		this.running.add(next);
		return next;
	}

	// Returns whether the work was here, running or queued.
	boolean remove(ModelWork work) {
		return this.running.remove(work) || this.queue.remove(work);
	}

	boolean isWaiting(ModelWork work) {
		return this.queue.contains(work);
	}

	List<ModelWork> getRunning() {
		return List.copyOf(this.running);
	}

	int getIdleSlots() {
		return this.slots - this.running.size();
	}

	int getBatchSlots() {
		return (int) this.running.stream().filter(ModelWork::isBatch).count();
	}

	boolean isStreamWaiting() {
		return this.queue.stream().anyMatch((work) -> !work.isBatch());
	}

	// Returns an item that may give its slot or place back, or null.
	ModelWork findItem() {
		return this.queue.stream()
			.filter(ModelWork::isBatch)
			.findFirst()
			.or(() -> this.running.stream().filter(ModelWork::isBatch).findFirst())
			.orElse(null);
	}

}
