package org.wigeonglade.gateway.fleet;

import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against counts that drift when reports are reordered, repeated, missing or come
 * from a restarted host.
 */
public class LoadBoardTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	private static final HostId OTHER = HostId.of("other");

	private final LoadBoard board = new LoadBoard();

	@Test
	public void reportReplacesThePreviousOne() {
		LoadBoard fresh = new LoadBoard();
		fresh.add(RUNNER, 2, 0);
		fresh.applyReport(OTHER, report(1, 1, 0, 3, 1));
		fresh.applyReport(OTHER, report(1, 2, 0, 1, 0));
		Assert.assertEquals(fresh.getLoad(RUNNER), new LoadBoard.Load(3, 0));
	}

	@Test
	public void olderReportIsDropped() {
		this.board.applyReport(OTHER, report(1, 5, 0, 1, 0));
		Assert.assertFalse(this.board.applyReport(OTHER, report(1, 4, 0, 7, 7)));
		Assert.assertEquals(this.board.getLoad(RUNNER).getTotal(), 1);
	}

	@Test
	public void sequenceNumbersRestartWithANewIncarnation() {
		LoadBoard fresh = new LoadBoard();
		fresh.applyReport(OTHER, report(1, 500, 0, 4, 4));
		Assert.assertTrue(fresh.applyReport(OTHER, report(2, 1, 0, 0, 1)));
		Assert.assertEquals(fresh.getLoad(RUNNER), new LoadBoard.Load(0, 1));
	}

	@Test
	public void reportOfASilentHostIsDiscarded() {
		LoadBoard fresh = new LoadBoard();
		fresh.applyReport(OTHER, report(1, 1, 0, 4, 4));
		fresh.expire(LoadBoard.REPORT_LIFETIME_MILLIS);
		Assert.assertEquals(fresh.getLoad(RUNNER).getTotal(), 8);
		fresh.expire(LoadBoard.REPORT_LIFETIME_MILLIS + 1);
		Assert.assertEquals(fresh.getLoad(RUNNER), LoadBoard.Load.NONE);
	}

	@Test
	public void preemptionOfTheSameItemIsNotRequestedTwice() {
		LoadBoard fresh = new LoadBoard();
		fresh.applyReport(OTHER, report(1, 1, 0, 0, 1));
		Assert.assertEquals(fresh.findHostWithMostBatchItems(RUNNER), OTHER);
		fresh.recordPreemptionRequest(OTHER, RUNNER);
		Assert.assertNull(fresh.findHostWithMostBatchItems(RUNNER));
		fresh.applyReport(OTHER, report(1, 2, 0, 0, 0));
		Assert.assertEquals(fresh.getLoad(RUNNER), LoadBoard.Load.NONE);
	}

	private static LoadBoard.Report report(long incarnation, long sequence, long receivedMillis, int online,
			int batch) {
		return new LoadBoard.Report(incarnation, sequence, receivedMillis,
				Map.of(RUNNER, new LoadBoard.Load(online, batch)));
	}

}
