package org.wigeonglade.gateway.job;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a failing item that gets its full number of attempts on each host.
 */
public class FailureLedgerTests {

	private static final ItemKey ITEM = new ItemKey(JobId.of("job"), ItemId.of("item"));

	@Test
	public void highestCountOfEachHostIsSummed() {
		FailureLedger ledger = new FailureLedger("a.1");
		ledger.add(ITEM);
		ledger.recordRemote("b.1", ITEM, 2);
		ledger.recordRemote("b.1", ITEM, 1);
		ledger.recordRemote("b.2", ITEM, 1);
		ledger.recordRemote("c.1", ITEM, 0);
		Assert.assertEquals(ledger.getTotal(ITEM), 4);
		Assert.assertEquals(ledger.getLocal().size(), 1);
		Assert.assertEquals(ledger.getLocal().get(0).failures(), 1);
	}

	@Test
	public void countOfFinishedItemIsRemoved() {
		FailureLedger ledger = new FailureLedger("a.1");
		ledger.add(ITEM);
		ledger.removeIf((key) -> true);
		Assert.assertEquals(ledger.getTotal(ITEM), 0);
		Assert.assertTrue(ledger.getLocal().isEmpty());
	}

}
