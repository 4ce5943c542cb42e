package org.wigeonglade.gateway.fleet;

import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against counts that drift when reports are reordered, repeated, missing or come
 * from a restarted host.
 */
public class LoadTrackerTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	private static final HostId OTHER = HostId.of("other");

	private final LoadTracker tracker = new LoadTracker();

	@Test
	public void reportReplacesThePreviousOne() {
		LoadTracker fresh = new LoadTracker();
		fresh.add(RUNNER, 2, 0);
		fresh.applyReport(OTHER, report(1, 1, 0, 3, 1));
		fresh.applyReport(OTHER, report(1, 2, 0, 1, 0));
		Assert.assertEquals(fresh.getLoad(RUNNER), new LoadTracker.Load(3, 0));
	}

	@Test
	public void olderReportIsDropped() {
		this.tracker.applyReport(OTHER, report(1, 5, 0, 1, 0));
		Assert.assertFalse(this.tracker.applyReport(OTHER, report(1, 4, 0, 7, 7)));
		Assert.assertEquals(this.tracker.getLoad(RUNNER).getTotal(), 1);
	}

	@Test
	public void sequenceNumbersRestartWithANewIncarnation() {
		LoadTracker fresh = new LoadTracker();
		fresh.applyReport(OTHER, report(1, 500, 0, 4, 4));
		Assert.assertTrue(fresh.applyReport(OTHER, report(2, 1, 0, 0, 1)));
		Assert.assertEquals(fresh.getLoad(RUNNER), new LoadTracker.Load(0, 1));
	}

	@Test
	public void outdatedReportIsDiscarded() {
		LoadTracker fresh = new LoadTracker();
		fresh.applyReport(OTHER, report(1, 1, 0, 4, 4));
		fresh.expire(LoadTracker.REPORT_LIFETIME_MILLIS);
		Assert.assertEquals(fresh.getLoad(RUNNER).getTotal(), 8);
		fresh.expire(LoadTracker.REPORT_LIFETIME_MILLIS + 1);
		Assert.assertEquals(fresh.getLoad(RUNNER), LoadTracker.Load.NONE);
	}

	@Test
	public void preemptionOfTheSameItemIsNotRequestedTwice() {
		LoadTracker fresh = new LoadTracker();
		fresh.applyReport(OTHER, report(1, 1, 0, 0, 1));
		Assert.assertEquals(fresh.findHostWithMostBatchItems(RUNNER), OTHER);
		fresh.recordPreemptionRequest(OTHER, RUNNER);
		Assert.assertNull(fresh.findHostWithMostBatchItems(RUNNER));
		fresh.applyReport(OTHER, report(1, 2, 0, 0, 0));
		Assert.assertEquals(fresh.getLoad(RUNNER), LoadTracker.Load.NONE);
	}

	private static LoadTracker.Report report(long incarnation, long sequence, long receivedMillis, int online,
			int batch) {
		return new LoadTracker.Report(incarnation, sequence, receivedMillis,
				Map.of(RUNNER, new LoadTracker.Load(online, batch)));
	}

}
