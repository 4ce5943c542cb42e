package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against requests placed on a runner that is leaving, and against a restarted
 * runner with the same id that gets no requests.
 */
public class LeavingRunnersTests {

	private static final RunnerId RUNNER = RunnerId.of("a");

	private final LeavingRunners leaving = new LeavingRunners();

	@Test(dataProvider = "starts")
	public void onlyTheLeavingStartAndEarlierOnesAreContained(long started, boolean expected) {
		this.leaving.add(RUNNER, 20, 0);
		Assert.assertEquals(this.leaving.contains(entry("a", started)), expected);
		Assert.assertFalse(this.leaving.contains(entry("b", started)));
	}

	@DataProvider
	public Object[][] starts() {
		return new Object[][] { { 10, true }, { 20, true }, { 21, false } };
	}

	@Test
	public void lateReportOfAnEarlierStartIsIgnored() {
		LeavingRunners runners = new LeavingRunners();
		Assert.assertTrue(runners.add(RUNNER, 20, 0));
		Assert.assertFalse(runners.add(RUNNER, 10, 1));
		Assert.assertFalse(runners.add(RUNNER, 20, 1));
		Assert.assertTrue(runners.contains(entry("a", 20)));
		Assert.assertTrue(runners.add(RUNNER, 30, 2));
		Assert.assertTrue(runners.contains(entry("a", 30)));
	}

	@Test
	public void entryIsKeptForTheRetentionTime() {
		LeavingRunners runners = new LeavingRunners();
		runners.add(RUNNER, 20, 0);
		runners.expire(60_000);
		Assert.assertTrue(runners.contains(entry("a", 20)));
		runners.expire(LeavingRunners.RETENTION_MILLIS + 1);
		Assert.assertFalse(runners.contains(entry("a", 20)));
	}

	private static RunnerEntry entry(String id, long started) {
		return new RunnerEntry(RunnerId.of(id), ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.of("v1"), 8, false, started);
	}

}
