package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against an overload in which all items become late because items that are
 * already late are run first.
 */
public class ItemOrderTests {

	@Test
	public void feasibleItemComesBeforeLateItem() {
		ItemOrder order = new ItemOrder();
		List<ItemOrder.Entry> entries = new ArrayList<>(
				List.of(new ItemOrder.Entry(3_000, 0), new ItemOrder.Entry(20_000, 0), new ItemOrder.Entry(9_000, 0)));
		entries.sort(order.startOrder(0));
		Assert.assertEquals(entries.stream().map(ItemOrder.Entry::dueMillis).toList(),
				List.of(9_000L, 20_000L, 3_000L));
	}

	@Test
	public void nearlyCompleteItemIsFeasible() {
		ItemOrder order = new ItemOrder();
		Assert.assertFalse(order.isFeasible(1_000, 0, 0));
		Assert.assertTrue(order.isFeasible(1_000, 0, 190));
	}

	@Test
	public void lateItemsAreOrderedByDueTime() {
		ItemOrder order = new ItemOrder();
		List<ItemOrder.Entry> entries = new ArrayList<>(
				List.of(new ItemOrder.Entry(-100, 0), new ItemOrder.Entry(-900, 0)));
		entries.sort(order.startOrder(0));
		Assert.assertEquals(entries.get(0).dueMillis(), -900);
	}

	@Test
	public void estimateFollowsMeasuredRunTimes() {
		ItemOrder order = new ItemOrder();
		for (int i = 0; i < 100; i++) {
			order.recordCompletion(100, 1_000);
		}
		Assert.assertEquals(order.remainingMillis(0), 1_000, 30);
		Assert.assertEquals(order.remainingMillis(50), 500, 30);
	}

	/**
	 * Simulates jobs of ten items on 10 slots. A job arrives every 2.5 s and is due 18 s
	 * later; an item takes 4.9 s. This is twice the capacity, as in bursts after a loss
	 * of runners.
	 */
	@Test
	public void overloadStillCompletesMostFeasibleItems() {
		int feasibleFirst = simulate(true);
		int earliestDue = simulate(false);
		Assert.assertTrue(feasibleFirst >= 100, feasibleFirst + " in time of about 120 that fit");
		Assert.assertTrue(feasibleFirst > earliestDue, feasibleFirst + " against " + earliestDue);
	}

	private static int simulate(boolean feasibleFirst) {
		ItemOrder order = new ItemOrder();
		for (int i = 0; i < 50; i++) {
			order.recordCompletion(219, 4_900);
		}
		List<ItemOrder.Entry> waiting = new ArrayList<>();
		List<Long> ends = new ArrayList<>();
		int served = 0;
		for (long now = 0; now < 60_000; now += 20) {
			if (now % 2_500 == 0) {
				for (int i = 0; i < 10; i++) {
					waiting.add(new ItemOrder.Entry(now + 18_000, 0));
				}
			}
			long time = now;
			ends.removeIf((end) -> end <= time);
			waiting.sort(feasibleFirst ? order.startOrder(now) : Comparator.comparingLong(ItemOrder.Entry::dueMillis));
			while (ends.size() < 10 && !waiting.isEmpty()) {
				ItemOrder.Entry next = waiting.remove(0);
				ends.add(now + 4_900);
				served += (now + 4_900 <= next.dueMillis()) ? 1 : 0;
			}
		}
		return served;
	}

}
