package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.HostEntry;
import org.wigeonglade.schema.generated.gateway.RunnerLoad;

/**
 * Guards against slow runners that get as many requests as fast ones, against runners
 * that are not used again after they recovered, and against estimates that follow single
 * slow runs or wrong reports.
 */
public class RunnerSpeedsTests {

	private static final double EVENT_MILLIS = 40;

	private static final HostId OTHER = HostId.of("other");

	private RunnerSpeeds speeds;

	private int requests;

	@BeforeMethod
	public void createSpeeds() {
		this.requests = 4;
		this.speeds = new RunnerSpeeds((runner) -> this.requests);
	}

	@Test
	public void lastingDifferencesAreLearned() {
		run(0, 5_000, 0.6, 1, 1.6);
		Assert.assertEquals(speed("2", 5_000) / speed("0", 5_000), 1.6 / 0.6, 0.35);
		Assert.assertEquals(speed("1", 5_000), 1, 0.15);
	}

	@Test
	public void suddenChangesAreFollowedInBothDirections() {
		run(0, 5_000, 1, 1, 1, 1, 1, 1);
		run(5_000, 6_000, 0.2, 1, 1, 1, 1, 1);
		Assert.assertTrue(speed("0", 6_000) < 0.5, "" + speed("0", 6_000));
		Assert.assertTrue(speed("0", 6_000) > 0, "it is never left without requests");
		run(6_000, 11_500, 0.2, 1, 1, 1, 1, 1);
		run(11_500, 13_500, 1, 1, 1, 1, 1, 1);
		Assert.assertTrue(speed("0", 13_500) > 0.75, "" + speed("0", 13_500));
	}

	@Test
	public void equalRunnersStayAlikeDespiteSlowRuns() {
		Random random = new Random(1);
		for (long now = 0; now < 20_000; now += 100) {
			for (int runner = 0; runner < 6; runner++) {
				for (int slot = 0; slot < 8; slot++) {
					double factor = (random.nextDouble() < 0.15) ? 2.5 : 1;
					this.speeds.observe(entry(runner, 0), WorkKind.EVENT, 4, 4 * EVENT_MILLIS * factor, now);
				}
			}
		}
		for (int runner = 0; runner < 6; runner++) {
			Assert.assertEquals(this.speeds.getCapacity(entry(runner, 0), 20_000), RunnerCapacity.UNKNOWN);
		}
	}

	@Test
	public void speedReturnsToTheMeanWithoutRequests() {
		run(0, 5_000, 0.2, 1, 1);
		Assert.assertTrue(speed("0", 5_000) < 0.5);
		Assert.assertEquals(speed("0", 60_000), 1.0);
	}

	@Test(dataProvider = "saturations")
	public void kneeIsWhereThroughputStopsGrowing(int saturation, int knee) {
		for (long now = 0; now < 60_000; now += 100) {
			this.requests = 1 + (int) (now / 100 % 8);
			double speed = Math.min(1, (double) saturation / this.requests);
			for (int slot = 0; slot < this.requests; slot++) {
				this.speeds.observe(entry(0, 0), WorkKind.EVENT, 4, 4 * EVENT_MILLIS / speed, now);
			}
		}
		Assert.assertEquals(this.speeds.getCapacity(entry(0, 0), 60_000).knee(), knee);
		Assert.assertEquals(this.speeds.getCapacity(entry(0, 0), 200_000).knee(), Integer.MAX_VALUE);
	}

	@DataProvider
	public Object[][] saturations() {
		return new Object[][] { { 8, Integer.MAX_VALUE }, { 4, 4 }, { 6, 6 } };
	}

	@Test
	public void newProcessStartsWithoutTheSpeedOfTheOldOne() {
		run(0, 5_000, 0.2, 1, 1);
		Assert.assertEquals(this.speeds.getCapacity(entry(0, 9), 5_000), RunnerCapacity.UNKNOWN);
		int old = new SpeedReport(0.1, 4_000, SpeedReport.hashOf(0)).encode();
		Assert.assertTrue(this.speeds.applyReport(OTHER, entry(0, 9), old, 5_001));
		Assert.assertEquals(this.speeds.getCapacity(entry(0, 9), 5_001), RunnerCapacity.UNKNOWN);
	}

	@Test
	public void reportsGiveAnotherHostTheSameEstimate() {
		RunnerSpeeds receiver = new RunnerSpeeds((runner) -> 4);
		Random loss = new Random(1);
		for (long now = 0; now < 5_000; now += 100) {
			run(now, now + 100, 0.6, 1, 1.6);
			for (int runner = 0; runner < 3; runner++) {
				int code = this.speeds.selectReports(List.of(RunnerId.of("" + runner)), now + 100)
					.getOrDefault(RunnerId.of("" + runner), 0);
				if (code != 0 && loss.nextDouble() < 0.8) {
					Assert.assertTrue(receiver.applyReport(OTHER, entry(runner, 0), code, now + 100));
					receiver.applyReport(OTHER, entry(runner, 0), code, now + 100);
				}
			}
		}
		for (int runner = 0; runner < 3; runner++) {
			double expected = speed("" + runner, 5_000);
			Assert.assertEquals(receiver.getCapacity(entry(runner, 0), 5_000).speed() / expected, 1, 0.2);
		}
	}

	// Guards against reports that make the datagrams of a large fleet too many bytes.
	@Test
	public void reportsTakeLessThanATenthOfTheBytes() {
		long without = 0;
		long with = 0;
		Random random = new Random(1);
		for (long now = 0; now < 10_000; now += 50) {
			run(now, now + 1, 1, 1, 1, 1, 1, 1, 1, 1);
			List<RunnerId> loaded = IntStream.range(0, random.nextInt(8)).mapToObj((i) -> RunnerId.of("" + i)).toList();
			Datagram.Builder datagram = Datagram.newBuilder()
				.setSequence(now + 1)
				.setSender(HostEntry.newBuilder()
					.setHost("edge-norte-a-1")
					.setIp("10.0.0.1")
					.setPort(7_660)
					.setDomain("norte")
					.setIncarnation(1_700_000_000_000L));
			loaded
				.forEach((runner) -> datagram.addLoads(RunnerLoad.newBuilder().setRunner(runner.value()).setOnline(1)));
			without += datagram.build().getSerializedSize();
			Map<RunnerId, Integer> reports = this.speeds.selectReports(loaded, now);
			datagram.clearLoads();
			Stream.concat(loaded.stream(), reports.keySet().stream())
				.distinct()
				.forEach((runner) -> datagram.addLoads(RunnerLoad.newBuilder()
					.setRunner(runner.value())
					.setOnline(loaded.contains(runner) ? 1 : 0)
					.setSpeed(reports.getOrDefault(runner, 0))));
			with += datagram.build().getSerializedSize();
		}
		Assert.assertTrue(with > without && with <= 1.1 * without, with + " bytes, without reports " + without);
	}

	@Test(dataProvider = "impossible")
	public void impossibleReportsAreDroppedAndCounted(int code) {
		Assert.assertFalse(this.speeds.applyReport(OTHER, entry(0, 0), code, 0));
		Assert.assertEquals(this.speeds.getDroppedReports(), 1);
		Assert.assertEquals(this.speeds.getCapacity(entry(0, 0), 0), RunnerCapacity.UNKNOWN);
	}

	@DataProvider
	public Object[][] impossible() {
		return new Object[][] { { 1 }, { -1 }, { Integer.MIN_VALUE }, { Integer.MAX_VALUE }, { 1 << 21 } };
	}

	@Test(dataProvider = "extremes")
	public void extremeReportsNeitherStarveNorFlood(double claimed) {
		int code = new SpeedReport(claimed, 1e9, SpeedReport.hashOf(0)).encode();
		for (int host = 0; host < 61; host++) {
			this.speeds.applyReport(HostId.of("h" + host), entry(0, 0), code, 0);
		}
		Assert.assertTrue(speed("0", 0) >= 0.1 && speed("0", 0) <= 4);
	}

	@DataProvider
	public Object[][] extremes() {
		return new Object[][] { { 0 }, { -1 }, { 1e-300 }, { 1e300 }, { Double.POSITIVE_INFINITY }, { Double.NaN } };
	}

	private void run(long from, long to, double... trueSpeeds) {
		for (long now = from; now < to; now += 100) {
			for (int runner = 0; runner < trueSpeeds.length; runner++) {
				for (int slot = 0; slot < 4; slot++) {
					this.speeds.observe(entry(runner, 0), WorkKind.EVENT, 4, 4 * EVENT_MILLIS / trueSpeeds[runner],
							now);
				}
			}
		}
	}

	private double speed(String runner, long now) {
		return this.speeds.getCapacity(entry(Integer.parseInt(runner), 0), now).speed();
	}

	private static RunnerEntry entry(int id, long startedMillis) {
		return new RunnerEntry(RunnerId.of("" + id), ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.of("v1"), 8, false, startedMillis);
	}

}
