package org.wigeonglade.gateway.host;

import java.time.Duration;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a stopping host that takes requests which it cannot answer any more, or
 * turns callers away before they have learned of the stop.
 */
public class PlannedStopTests {

	private static final PlannedStop STOP = new PlannedStop(1_000, Duration.ofSeconds(8));

	@DataProvider
	public Object[][] moments() {
		return new Object[][] { { 0, true, true, true, true }, { 2_799, true, true, true, true },
				{ 2_800, false, true, true, true }, { 4_799, false, true, true, true },
				{ 4_800, false, false, false, true }, { 7_199, false, false, false, true },
				{ 7_200, false, false, false, false } };
	}

	@Test(dataProvider = "moments")
	public void eachPartOfTheGraceTimeAllowsLess(long elapsed, boolean idle, boolean items, boolean accepting,
			boolean waiting) {
		long now = STOP.startMillis() + elapsed;
		Assert.assertEquals(STOP.isKeepingIdleConnections(now), idle);
		Assert.assertEquals(STOP.isRunningItems(now), items);
		Assert.assertEquals(STOP.isAccepting(now), accepting);
		Assert.assertEquals(STOP.isWaiting(now), waiting);
	}

}
