package org.wigeonglade.gateway.fleet;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a failing runner that keeps receiving its share of requests, and against
 * a recovered runner that receives none.
 */
public class RunnerHealthTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	@Test
	public void avoidanceDoublesUpToItsMaximum() {
		RunnerHealth health = new RunnerHealth();
		Assert.assertEquals(health.recordFailure(RUNNER, 0), 500);
		Assert.assertEquals(health.recordFailure(RUNNER, 0), 1_000);
		for (int i = 0; i < 40; i++) {
			health.recordFailure(RUNNER, 0);
		}
		Assert.assertEquals(health.recordFailure(RUNNER, 0), RunnerHealth.MAX_AVOIDANCE_MILLIS);
	}

	@Test
	public void avoidanceEndsAfterItsTimeOrASuccess() {
		RunnerHealth health = new RunnerHealth();
		health.recordFailure(RUNNER, 0);
		Assert.assertTrue(health.isAvoided(RUNNER, 499));
		Assert.assertFalse(health.isAvoided(RUNNER, 500));
		health.recordFailure(RUNNER, 600);
		health.recordSuccess(RUNNER);
		Assert.assertFalse(health.isAvoided(RUNNER, 601));
	}

}
