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
		return new Object[][] { { 0, true, true, true }, { 2_799, true, true, true }, { 2_800, false, true, true },
				{ 4_799, false, true, true }, { 4_800, false, false, true }, { 7_199, false, false, true },
				{ 7_200, false, false, false } };
	}

	@Test(dataProvider = "phases")
	public void eachPhaseOfTheGracePeriodAllowsLess(long elapsed, boolean idle, boolean items, boolean draining) {
		long now = SHUTDOWN.startMillis() + elapsed;
		Assert.assertEquals(SHUTDOWN.isKeepingIdleConnections(now), idle);
		Assert.assertEquals(SHUTDOWN.isRunningItems(now), items);
		Assert.assertEquals(SHUTDOWN.isDraining(now), draining);
	}

	@DataProvider
	public Object[][] limits() {
		return new Object[][] { { 0, 60_000, true }, { 2_799, 5_000, true }, { 2_800, 5_000, false },
				{ 2_800, 4_400, true }, { 2_800, 4_401, false }, { 4_799, 5_000, false }, { 4_800, 1_500, true },
				{ 5_700, 1_500, true }, { 5_701, 1_500, false }, { 7_199, 1, true }, { 7_200, 0, false } };
	}

	// Guards against a request that is accepted late and cut off before its own limit,
	// and
	// against the refusal of one that fits.
	@Test(dataProvider = "limits")
	public void lateRequestIsAcceptedIfItsLimitFitsIntoTheRest(long elapsed, long limit, boolean accepted) {
		Assert.assertEquals(SHUTDOWN.isAccepting(Duration.ofMillis(limit), SHUTDOWN.startMillis() + elapsed), accepted);
	}

}
