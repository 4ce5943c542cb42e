package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against hosts that together start more batch items than a runner has idle slots,
 * and against slots that are allocated to no host and stay idle.
 */
public class IdleSlotAllocatorTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	@Test(dataProvider = "sizes")
	public void eachIdleSlotIsAllocatedToExactlyOneHost(int hosts, int freeSlots) {
		List<HostId> contenders = hosts(hosts);
		for (long round = 0; round < 20; round++) {
			int started = 0;
			for (HostId host : contenders) {
				IdleSlotAllocator allocator = new IdleSlotAllocator(host);
				while (allocator.tryAllocate(RUNNER, freeSlots, round, contenders)) {
					started++;
				}
			}
			Assert.assertEquals(started, freeSlots);
		}
	}

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 12, 1 }, { 12, 8 }, { 3, 8 }, { 1, 5 }, { 71, 7 } };
	}

	@Test
	public void slotIsAllocatedEvenlyOverTheRounds() {
		List<HostId> contenders = hosts(12);
		for (HostId host : contenders) {
			IdleSlotAllocator allocator = new IdleSlotAllocator(host);
			int taken = 0;
			for (long round = 0; round < 600; round++) {
				taken += allocator.tryAllocate(RUNNER, 1, round, contenders) ? 1 : 0;
			}
			Assert.assertTrue(taken > 20 && taken < 90, host + " got the slot in " + taken + " of 600 rounds");
		}
	}

	@Test
	public void nothingIsAllocatedWhenNoSlotIsIdle() {
		IdleSlotAllocator allocator = new IdleSlotAllocator(HostId.of("h0"));
		Assert.assertTrue(allocator.tryAllocate(RUNNER, 2, 1, hosts(1)));
		Assert.assertFalse(allocator.tryAllocate(RUNNER, 0, 1, hosts(1)));
	}

	private static List<HostId> hosts(int count) {
		List<HostId> hosts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			hosts.add(HostId.of("h" + i));
		}
		return hosts;
	}

}
