package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against hosts that together start more items than a runner has idle slots, and
 * against slots that stay idle because nobody takes them.
 */
public class BatchTurnsTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	@Test(dataProvider = "sizes")
	public void idleSlotsAreTakenOnceWhenAllHostsSeeThemAtOnce(int hosts, int freeSlots) {
		List<HostId> contenders = hosts(hosts);
		for (long turn = 0; turn < 20; turn++) {
			int started = 0;
			for (HostId host : contenders) {
				BatchTurns turns = new BatchTurns(host);
				while (turns.tryTake(RUNNER, freeSlots, turn, contenders)) {
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
	public void everyHostHasItsTurn() {
		List<HostId> contenders = hosts(12);
		for (HostId host : contenders) {
			BatchTurns turns = new BatchTurns(host);
			int taken = 0;
			for (long turn = 0; turn < 600; turn++) {
				taken += turns.tryTake(RUNNER, 1, turn, contenders) ? 1 : 0;
			}
			Assert.assertTrue(taken > 20 && taken < 90, host + " had " + taken + " of 600 turns");
		}
	}

	@Test
	public void nothingIsTakenWhenNoSlotIsLeft() {
		BatchTurns turns = new BatchTurns(HostId.of("h0"));
		Assert.assertTrue(turns.tryTake(RUNNER, 2, 1, hosts(1)));
		Assert.assertFalse(turns.tryTake(RUNNER, 0, 1, hosts(1)));
	}

	private static List<HostId> hosts(int count) {
		List<HostId> hosts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			hosts.add(HostId.of("h" + i));
		}
		return hosts;
	}

}
