package org.wigeonglade.gateway.job;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a failing item that gets its full number of attempts on each host.
 */
public class FailureCounterTests {

	private static final ItemKey ITEM = new ItemKey(JobId.of("job"), ItemId.of("item"));

	@Test
	public void highestCountOfEachHostIsSummed() {
		FailureCounter counter = new FailureCounter("a.1");
		counter.add(ITEM);
		counter.recordRemote("b.1", ITEM, 2);
		counter.recordRemote("b.1", ITEM, 1);
		counter.recordRemote("b.2", ITEM, 1);
		counter.recordRemote("c.1", ITEM, 0);
		Assert.assertEquals(counter.getTotal(ITEM), 4);
		Assert.assertEquals(counter.getLocal().size(), 1);
		Assert.assertEquals(counter.getLocal().get(0).failures(), 1);
	}

	@Test
	public void countOfFinishedItemIsRemoved() {
		FailureCounter counter = new FailureCounter("a.1");
		counter.add(ITEM);
		counter.removeIf((key) -> true);
		Assert.assertEquals(counter.getTotal(ITEM), 0);
		Assert.assertTrue(counter.getLocal().isEmpty());
	}

}
