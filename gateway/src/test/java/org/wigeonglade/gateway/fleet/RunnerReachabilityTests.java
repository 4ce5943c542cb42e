package org.wigeonglade.gateway.fleet;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a host that takes the loss of its own links for failures of runners, and
 * against one that takes crashes of runners for the loss of its links.
 */
public class RunnerReachabilityTests {

	private static final int REGISTERED = 9;

	private RunnerReachability reachability;

	@BeforeMethod
	public void createReachability() {
		this.reachability = new RunnerReachability();
	}

	@Test
	public void failuresOfSeveralRunnersInARowCutTheHostOff() {
		Assert.assertFalse(fail("a", 0));
		Assert.assertFalse(fail("b", 1));
		Assert.assertTrue(fail("c", 2));
		Assert.assertTrue(this.reachability.isCutOff());
	}

	@Test
	public void repeatedFailuresOfOneRunnerDoNotCutTheHostOff() {
		for (int i = 0; i < 20; i++) {
			Assert.assertFalse(fail("a", i));
		}
	}

	@Test
	public void connectionToAnyRunnerShowsThatOthersHaveFailed() {
		fail("a", 0);
		fail("b", 1);
		this.reachability.recordConnected();
		Assert.assertFalse(fail("c", 2));
	}

	// Open connections live on while new ones are refused.
	@Test
	public void responsesOnOpenConnectionsDoNotHideThatNewOnesFail() {
		fail("a", 0);
		this.reachability.recordResponse();
		fail("b", 1);
		this.reachability.recordResponse();
		Assert.assertTrue(fail("c", 2));
	}

	@Test
	public void silenceOfSeveralRunnersCutsTheHostOffUnlessAnotherResponds() {
		this.reachability.recordSilence(RunnerId.of("a"), REGISTERED, 0);
		this.reachability.recordSilence(RunnerId.of("b"), REGISTERED, 1);
		this.reachability.recordResponse();
		Assert.assertFalse(this.reachability.recordSilence(RunnerId.of("c"), REGISTERED, 2));
		this.reachability.recordSilence(RunnerId.of("a"), REGISTERED, 3);
		Assert.assertTrue(fail("b", 4));
	}

	@Test
	public void failuresOfLongAgoDoNotCount() {
		fail("a", 0);
		fail("b", 1);
		Assert.assertFalse(fail("c", RunnerReachability.RETENTION_MILLIS + 1));
	}

	@Test
	public void hostReturnsWithItsFirstDirectConnection() {
		fail("a", 0);
		fail("b", 1);
		fail("c", 2);
		Assert.assertTrue(this.reachability.recordConnected());
		Assert.assertFalse(this.reachability.isCutOff());
		Assert.assertFalse(fail("a", 3));
	}

	@Test
	public void fleetOfFewRunnersNeedsAllOfThemToFail() {
		Assert.assertFalse(this.reachability.recordConnectFailure(RunnerId.of("a"), 2, 0));
		Assert.assertTrue(this.reachability.recordConnectFailure(RunnerId.of("b"), 2, 1));
	}

	private boolean fail(String runner, long millis) {
		return this.reachability.recordConnectFailure(RunnerId.of(runner), REGISTERED, millis);
	}

}
