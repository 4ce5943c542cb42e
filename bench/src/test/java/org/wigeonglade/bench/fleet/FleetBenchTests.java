package org.wigeonglade.bench.fleet;

import java.time.Duration;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Guards against a fleet over real connections that does not spread configurations and
 * leaving upstreams, and against wrongly fitted slopes. Cost is not judged here, since it
 * depends on the load of the machine.
 */
public class FleetBenchTests {

	@Test
	void smallFleetSpreadsConfigurationsAndLeavingUpstreams() throws InterruptedException {
		FleetOptions options = new FleetOptions(List.of(3), 4, Duration.ofMillis(200), Duration.ZERO, 2);
		try (FleetRun run = new FleetRun(options)) {
			FleetPoint point = run.measure(3);
			Assert.assertTrue(point.configInForceMsMax() <= FleetPoint.MAX_CONFIG_MS, point.toString());
			Assert.assertTrue(point.configWithoutPlatformMsMax() <= FleetPoint.MAX_CONFIG_MS, point.toString());
			Assert.assertEquals(point.cutRequests(), 0);
		}
	}

	@Test
	void slopesAreThoseOfALine() {
		List<FleetPoint> points = List.of(point(2, 10), point(4, 14), point(8, 22));
		Assert.assertEquals(FleetBench.getSlopes(points).get("control_bytes_per_s"), 2.0);
	}

	@Test
	void verdictNamesEveryBound() {
		Assert.assertTrue(point(2, 25_000).ok());
		Assert.assertFalse(point(2, 25_001).ok());
	}

	@Test(expectedExceptions = InvalidRequestException.class)
	void tooLargeFleetIsRefused() {
		FleetOptions.defaults().withSizes(List.of(1000));
	}

	private static FleetPoint point(int hosts, double bytes) {
		return new FleetPoint(hosts, 1, 1, 1, 0, 1, bytes, 1, 1, false).withVerdict();
	}

}
