package org.wigeonglade.gateway.online;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.gateway.fleet.RunnerId;

/**
 * Guards against a request that takes down one runner after the other, and against
 * quarantine by one loss that several hosts tell.
 */
public class CrashLedgerTests {

	@Test
	public void requestIsQuarantinedAfterThreeLostRunners() {
		CrashLedger ledger = new CrashLedger();
		Assert.assertTrue(ledger.add(1, RunnerId.of("a"), 0, 0));
		Assert.assertTrue(ledger.add(1, RunnerId.of("b"), 0, 0));
		Assert.assertFalse(ledger.isQuarantined(1));
		Assert.assertTrue(ledger.add(1, RunnerId.of("a"), 5, 0), "a restarted runner is another loss");
		Assert.assertTrue(ledger.isQuarantined(1));
		Assert.assertFalse(ledger.isQuarantined(2));
	}

	@Test
	public void lossToldTwiceCountsOnce() {
		CrashLedger ledger = new CrashLedger();
		for (int i = 0; i < 5; i++) {
			ledger.add(1, RunnerId.of("a"), 0, 0);
		}
		Assert.assertEquals(ledger.getLostRunners(1), 1);
	}

	@Test
	public void quarantineEnds() {
		CrashLedger ledger = new CrashLedger();
		for (String runner : new String[] { "a", "b", "c" }) {
			ledger.add(1, RunnerId.of(runner), 0, 0);
		}
		ledger.expire(CrashLedger.MEMORY_MILLIS);
		Assert.assertTrue(ledger.isQuarantined(1));
		ledger.expire(CrashLedger.MEMORY_MILLIS + 1);
		Assert.assertFalse(ledger.isQuarantined(1));
	}

}
