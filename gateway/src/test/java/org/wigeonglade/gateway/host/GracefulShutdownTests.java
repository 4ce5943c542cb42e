package org.wigeonglade.gateway.host;

import java.time.Duration;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a host that, while shutting down, accepts requests which it cannot
 * complete, or closes connections before the load balancer has detected the shutdown.
 */
public class GracefulShutdownTests {

	private static final GracefulShutdown SHUTDOWN = new GracefulShutdown(1_000, Duration.ofSeconds(8));

	@DataProvider
	public Object[][] phases() {
		return new Object[][] { { 0, true, true, true, true }, { 2_799, true, true, true, true },
				{ 2_800, false, true, true, true }, { 4_799, false, true, true, true },
				{ 4_800, false, false, false, true }, { 7_199, false, false, false, true },
				{ 7_200, false, false, false, false } };
	}

	@Test(dataProvider = "phases")
	public void eachPhaseOfTheGracePeriodAllowsLess(long elapsed, boolean idle, boolean items, boolean accepting,
			boolean draining) {
		long now = SHUTDOWN.startMillis() + elapsed;
		Assert.assertEquals(SHUTDOWN.isKeepingIdleConnections(now), idle);
		Assert.assertEquals(SHUTDOWN.isRunningItems(now), items);
		Assert.assertEquals(SHUTDOWN.isAccepting(now), accepting);
		Assert.assertEquals(SHUTDOWN.isDraining(now), draining);
	}

}
