package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Counts the failed runs of each item across all hosts. Without a common count, an item
 * that fails on every run and is owned by several hosts, at once or one after the other,
 * would get its full number of attempts on each of them. Not thread-safe.
 */
public final class FailureCounter {

	private final String self;

	private final Map<ItemKey, Map<String, Integer>> counts = new HashMap<>();

	/**
	 * Creates an instance without failures.
	 * @param self the name and incarnation of this host, not null
	 */
	FailureCounter(String self) {
		this.self = self;
	}

	/**
	 * Counts a failed run on this host.
	 * @param item the item, not null
	 */
	void add(ItemKey item) {
		countsByHost(item).merge(this.self, 1, Integer::sum);
	}

	/**
	 * Records the count that another host reports. The highest count is kept, so that
	 * datagrams may arrive out of order.
	 * @param host the name and incarnation of the other host, not null
	 * @param item the item, not null
	 * @param failures the number of failed runs on that host
	 */
	void recordRemote(String host, ItemKey item, int failures) {
		if (failures > 0) {
			countsByHost(item).merge(host, failures, Math::max);
		}
	}

	/**
	 * Returns the number of failed runs of an item on all hosts.
	 * @param item the item, not null
	 * @return the number, 0 if no failure is recorded
	 */
	int getTotal(ItemKey item) {
		return this.counts.getOrDefault(item, Map.of()).values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns the failed runs on this host.
	 * @return the counts of items with at least one failure, never null
	 */
	List<Count> getLocal() {
		List<Count> local = new ArrayList<>();
		this.counts.forEach((item, hosts) -> {
			Integer failures = hosts.get(this.self);
			if (failures != null) {
				local.add(new Count(item.job(), item.item(), failures));
			}
		});
		return local;
	}

	/**
	 * Removes the counts of items that no longer need to run. Counts of items whose job
	 * this host has not read yet must be kept.
	 * @param closed tests whether an item has a result, not null
	 */
	void removeIf(Predicate<ItemKey> closed) {
		this.counts.keySet().removeIf(closed);
	}

	private Map<String, Integer> countsByHost(ItemKey item) {
		return this.counts.computeIfAbsent(item, (i) -> new HashMap<>());
	}

	/**
	 * Number of failed runs of one item on this host.
	 *
	 * @param job the job, not null
	 * @param item the item, not null
	 * @param failures the number, at least 1
	 */
	public record Count(JobId job, ItemId item, int failures) {

	}

}
