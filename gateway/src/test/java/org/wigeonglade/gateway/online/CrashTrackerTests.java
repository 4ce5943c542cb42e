package org.wigeonglade.gateway.online;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.gateway.fleet.RunnerId;

/**
 * Guards against a request that crashes one runner after the other without being
 * quarantined, and against quarantine because several hosts report the same crash.
 */
public class CrashTrackerTests {

	@Test
	public void requestIsQuarantinedAfterThreeCrashes() {
		CrashTracker tracker = new CrashTracker();
		Assert.assertTrue(tracker.add(1, RunnerId.of("a"), 0, 0));
		Assert.assertTrue(tracker.add(1, RunnerId.of("b"), 0, 0));
		Assert.assertFalse(tracker.isQuarantined(1));
		Assert.assertTrue(tracker.add(1, RunnerId.of("a"), 5, 0),
				"a crash of the restarted runner must count separately");
		Assert.assertTrue(tracker.isQuarantined(1));
		Assert.assertFalse(tracker.isQuarantined(2));
	}

	@Test
	public void repeatedReportOfOneCrashCountsOnce() {
		CrashTracker tracker = new CrashTracker();
		for (int i = 0; i < 5; i++) {
			tracker.add(1, RunnerId.of("a"), 0, 0);
		}
		Assert.assertEquals(tracker.getCrashCount(1), 1);
	}

	@Test
	public void quarantineEnds() {
		CrashTracker tracker = new CrashTracker();
		for (String runner : new String[] { "a", "b", "c" }) {
			tracker.add(1, RunnerId.of(runner), 0, 0);
		}
		tracker.expire(CrashTracker.RETENTION_MILLIS);
		Assert.assertTrue(tracker.isQuarantined(1));
		tracker.expire(CrashTracker.RETENTION_MILLIS + 1);
		Assert.assertFalse(tracker.isQuarantined(1));
	}

}
