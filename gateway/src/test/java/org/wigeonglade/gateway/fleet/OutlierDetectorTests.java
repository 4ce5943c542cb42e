package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against a runner that keeps its share of requests although it fails many of
 * them, and against sound runners that are avoided because of a few failures. Replays a
 * large fleet, in which each host sees a runner only every few seconds.
 */
public class OutlierDetectorTests {

	private static final int HOSTS = 71;

	private static final int RUNNERS = 63;

	private static final int DOMAINS = 3;

	/** Requests a second of the largest route kinds of the grown deployments. */
	private static final int PER_SECOND = 332;

	private static final long REPORT_MILLIS = 250;

	private static final long LENGTH_MILLIS = 30_000;

	private static final RunnerId FIRST = RunnerId.of("r0");

	private final List<OutlierDetector> hosts = new ArrayList<>();

	private final int[] sent = new int[RUNNERS];

	private final long[] avoidedMillis = new long[RUNNERS];

	@DataProvider
	public Object[][] failureShares() {
		return new Object[][] { { 0.4 }, { 0.7 }, { 1.0 } };
	}

	@Test(dataProvider = "failureShares")
	public void failingRunnerLosesMostOfItsShare(double failureShare) {
		replay((host, runner) -> (runner == 0) ? failureShare : 0.002);
		double fair = PER_SECOND * LENGTH_MILLIS / 1000.0 / RUNNERS;
		Assert.assertTrue(this.sent[0] < fair / 2, this.sent[0] + " of " + fair);
		for (int i = 1; i < RUNNERS; i++) {
			Assert.assertEquals(this.avoidedMillis[i], 0, "runner " + i);
		}
	}

	// The pattern of answers that are spoiled now and then by all runners.
	@Test
	public void fewFailuresOfAllRunnersAvoidNone() {
		replay((host, runner) -> 0.03);
		long sum = 0;
		for (long millis : this.avoidedMillis) {
			sum += millis;
		}
		Assert.assertTrue(sum < 0.01 * HOSTS * RUNNERS * LENGTH_MILLIS, "avoided for " + sum + " ms");
	}

	// The pattern of a runner that cannot be used well from one failure domain.
	@Test
	public void failuresOfAnotherDomainAloneDoNotCount() {
		replay((host, runner) -> (runner == 0 && host % DOMAINS == 0) ? 0.6 : 0);
		Assert.assertTrue(this.hosts.get(0).getOutcomes(FIRST, LENGTH_MILLIS).failed() > 0);
		Assert.assertEquals(this.hosts.get(1).getOutcomes(FIRST, LENGTH_MILLIS).failed(), 0.0);
		Assert.assertFalse(this.hosts.get(1).isOutlier(FIRST, LENGTH_MILLIS));
	}

	@Test
	public void avoidanceEndsAndGrowsOnProbation() {
		OutlierDetector detector = new OutlierDetector(domain(0));
		fail(detector, 3, 0);
		Assert.assertEquals(detector.judge(FIRST, 0).orElse(0), OutlierDetector.FIRST_AVOIDANCE_MILLIS);
		Assert.assertTrue(detector.isOutlier(FIRST, 1));
		long later = OutlierDetector.FIRST_AVOIDANCE_MILLIS;
		Assert.assertFalse(detector.isOutlier(FIRST, later));
		Assert.assertTrue(detector.judge(FIRST, later).isEmpty(), "old failures alone avoid no runner again");
		fail(detector, 2, later + 100);
		Assert.assertEquals(detector.judge(FIRST, later + 100).orElse(0), 2 * OutlierDetector.FIRST_AVOIDANCE_MILLIS);
	}

	private static void fail(OutlierDetector detector, int count, long nowMillis) {
		for (int i = 0; i < count; i++) {
			detector.add(FIRST, true, nowMillis);
		}
	}

	private void replay(FailureRate rate) {
		Random random = new Random(7);
		this.hosts.clear();
		Arrays.fill(this.sent, 0);
		Arrays.fill(this.avoidedMillis, 0);
		for (int i = 0; i < HOSTS; i++) {
			this.hosts.add(new OutlierDetector(domain(i)));
		}
		for (long now = 0; now < LENGTH_MILLIS; now += REPORT_MILLIS) {
			for (int i = 0; i < PER_SECOND * REPORT_MILLIS / 1000; i++) {
				request(random, rate, now);
			}
			exchange(now);
			for (OutlierDetector host : this.hosts) {
				for (int runner = 0; runner < RUNNERS; runner++) {
					this.avoidedMillis[runner] += host.isOutlier(id(runner), now) ? REPORT_MILLIS : 0;
				}
			}
		}
	}

	private void request(Random random, FailureRate rate, long now) {
		int index = random.nextInt(HOSTS);
		OutlierDetector host = this.hosts.get(index);
		int runner = random.nextInt(RUNNERS);
		if (host.isOutlier(id(runner), now)) {
			return;
		}
		this.sent[runner]++;
		host.add(id(runner), random.nextDouble() < rate.of(index, runner), now);
		host.judge(id(runner), now);
	}

	private void exchange(long now) {
		for (int from = 0; from < HOSTS; from++) {
			Map<RunnerId, Outcomes> report = this.hosts.get(from).getReport(now);
			for (int to = 0; to < HOSTS; to++) {
				if (to != from) {
					this.hosts.get(to).report(HostId.of("h" + from), domain(from), report, now);
				}
			}
		}
		for (OutlierDetector host : this.hosts) {
			for (int runner = 0; runner < RUNNERS; runner++) {
				host.judge(id(runner), now);
			}
		}
	}

	private static RunnerId id(int runner) {
		return RunnerId.of("r" + runner);
	}

	private static FailureDomain domain(int host) {
		return FailureDomain.of("d" + host % DOMAINS);
	}

	/**
	 * Tells which part of the requests of a host fails at a runner.
	 */
	private interface FailureRate {

		double of(int host, int runner);

	}

}
