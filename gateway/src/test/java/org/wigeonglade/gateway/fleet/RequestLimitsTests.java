package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against a runner that gets more requests than its limit because several hosts
 * each keep to it by themselves, and against a limit that outlives the runner or is not
 * used.
 */
public class RequestLimitsTests {

	private static final RunnerId RUNNER = RunnerId.of("a");

	private static final int WINDOW_MILLIS = 4_000;

	/** Time after the first response with the limit from which it binds. */
	private static final int SETTLE_MILLIS = 3_000;

	@Test(dataProvider = "fleets")
	public void hostsTogetherKeepToTheLimit(int hosts, double limit, int lagMillis, double demand) {
		assertLimitKept(hosts, limit, lagMillis, demand);
	}

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 1, 3.5, 1, 1_000 }, { 12, 3.5, 4, 1_000 }, { 12, 0.4, 4, 1_000 },
				{ 95, 3.5, 33, 1_000 }, { 95, 40, 33, 1_000 }, { 300, 10, 105, 40 } };
	}

	@Test
	public void hundredsOfHostsThatPressOnOneRunnerKeepToTheLimit() {
		assertLimitKept(300, 10, 105, 1_000);
	}

	// The hosts have requests for the runner, the demand in requests per second, and see
	// what the others sent only after the delay of their reports.
	private static void assertLimitKept(int hosts, double limit, int lagMillis, double demand) {
		List<RequestLimits> limits = new ArrayList<>();
		for (int host = 0; host < hosts; host++) {
			limits.add(new RequestLimits(new Random(host)));
			limits.get(host).observe(RUNNER, 1, OptionalDouble.of(limit), 0, 0);
		}
		Random random = new Random(hosts);
		int[] sent = new int[hosts];
		List<Integer> times = new ArrayList<>();
		for (int now = 0; now < 5 * WINDOW_MILLIS; now++) {
			int host = random.nextInt(hosts);
			if (random.nextDouble() < demand / 1_000 && limits.get(host).getAllowance(entry(1), now).online() > 0) {
				limits.get(host).recordSent(entry(1), now);
				sent[host]++;
				times.add(now);
			}
			if (now % lagMillis == 0) {
				report(limits, sent, now);
			}
		}
		for (int start : times.stream().filter((time) -> time >= SETTLE_MILLIS).toList()) {
			long count = times.stream().filter((time) -> time >= start && time < start + WINDOW_MILLIS).count();
			Assert.assertTrue(count <= 1.5 * limit * WINDOW_MILLIS / 1_000 + 5, count + " requests from " + start);
		}
		Assert.assertTrue(times.size() >= 0.8 * limit * 5 * WINDOW_MILLIS / 1_000, times.size() + " requests");
	}

	@Test
	public void limitOfARestartedRunnerIsForgotten() {
		RequestLimits limits = new RequestLimits(new Random(1));
		limits.observe(RUNNER, 1, OptionalDouble.of(1), 0, 0);
		Assert.assertNotEquals(limits.getAllowance(entry(1), 0), Allowance.UNLIMITED);
		Assert.assertEquals(limits.getAllowance(entry(2), 0), Allowance.UNLIMITED);
		limits.observe(RUNNER, 1, OptionalDouble.empty(), 0, 0);
		Assert.assertEquals(limits.getAllowance(entry(1), 0), Allowance.UNLIMITED);
	}

	@Test
	public void hostWithALateClockCanEndALimit() {
		RequestLimits limits = new RequestLimits(new Random(1));
		RequestLimit told = new RequestLimit(RUNNER, 1, OptionalDouble.of(1), 10_000);
		Assert.assertTrue(limits.merge(told, 0));
		Assert.assertTrue(limits.observe(RUNNER, 1, OptionalDouble.empty(), 2_000, 0));
		Assert.assertFalse(limits.merge(told, 0));
		Assert.assertEquals(limits.getAllowance(entry(1), 0), Allowance.UNLIMITED);
	}

	@Test
	public void requestsSentBeforeTheStartOfThisHostAreNotCharged() {
		RequestLimits limits = new RequestLimits(new Random(1));
		limits.merge(new RequestLimit(RUNNER, 1, OptionalDouble.of(4), 0), 0);
		limits.recordRemoteSent("host-1.1", RUNNER, 500, 0);
		Assert.assertTrue(limits.getAllowance(entry(1), 250).online() > 0);
		limits.recordRemoteSent("host-1.1", RUNNER, 505, 250);
		Assert.assertTrue(limits.getAllowance(entry(1), 250).online() < 0);
	}

	@Test
	public void batchItemsLeaveARequestToOnlineRequests() {
		RequestLimits limits = new RequestLimits(new Random(1));
		limits.observe(RUNNER, 1, OptionalDouble.of(2), 0, 0);
		Assert.assertEquals(limits.getAllowance(entry(1), 0), new Allowance(1, 0));
		Assert.assertEquals(limits.getAllowance(entry(1), 500), new Allowance(2, 1));
	}

	@Test
	public void runnerThatTakesNothingIsAskedNowAndThen() {
		RequestLimits limits = new RequestLimits(new Random(1));
		limits.observe(RUNNER, 1, OptionalDouble.of(0), 0, 0);
		limits.recordSent(entry(1), 0);
		Assert.assertFalse(limits.getAllowance(entry(1), 5_000).online() > 0);
		Assert.assertTrue(limits.getAllowance(entry(1), 20_000).online() > 0);
	}

	private static void report(List<RequestLimits> limits, int[] sent, int now) {
		for (int from = 0; from < sent.length; from++) {
			for (int to = 0; to < sent.length; to++) {
				if (from != to && sent[from] > 0) {
					limits.get(to).recordRemoteSent("host-" + from, RUNNER, sent[from], now);
				}
			}
		}
	}

	private static RunnerEntry entry(long startedMillis) {
		return new RunnerEntry(RUNNER, ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("zone-a"), SoftwareVersion.of("v1"), 8, false, startedMillis);
	}

}
