package org.wigeonglade.gateway.workspace;

import java.time.Duration;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.time.ClockReading;
import org.wigeonglade.gateway.workspace.AccessPolicy.Freshness;

/**
 * Guards against a withdrawn key that goes on working at a host which is cut off from the
 * store, suspended, or whose time of day jumps.
 */
public class ConfigurationLeaseTests {

	private static final ClockReading READ = new ClockReading(1_000_000, 50_000_000);

	private static final Optional<Duration> DELAY = Optional.of(Duration.ofSeconds(5));

	@DataProvider
	Object[][] elapsedTimes() {
		return new Object[][] { { 0, 0, Freshness.RECENT }, { 2_200, 2_200, Freshness.RECENT },
				{ 4_500, 4_500, Freshness.USABLE }, { 4_501, 4_501, Freshness.EXPIRED },
				// Suspended: the monotonic clock stood still.
				{ 10, 4_600, Freshness.EXPIRED }, { 10, 3_000, Freshness.USABLE },
				// The time of day was set forward, or back.
				{ 100, 3_600_000, Freshness.EXPIRED }, { 300, -3_600_000, Freshness.EXPIRED },
				{ 300, 40, Freshness.EXPIRED }, { 300, 60, Freshness.RECENT },
				// Set back during a suspension.
				{ 400, 0, Freshness.EXPIRED },
				// Long without a read.
				{ 600_000, 600_000, Freshness.EXPIRED } };
	}

	@Test(dataProvider = "elapsedTimes")
	public void leaseExpiresByEitherClock(long monotonicMillis, long wallMillis, Freshness expected) {
		Assert.assertEquals(ConfigurationLease.of(DELAY).getFreshness(READ, after(monotonicMillis, wallMillis)),
				expected);
	}

	@Test
	public void hostServesOnWithoutABoundOnWithdrawals() {
		Assert.assertEquals(ConfigurationLease.of(Optional.empty()).getFreshness(READ, after(3_600_000, 3_600_000)),
				Freshness.USABLE);
	}

	@Test
	public void leaseIsNotValidBeforeTheFirstRead() {
		ClockReading never = new ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);
		Assert.assertEquals(ConfigurationLease.of(DELAY).getFreshness(never, READ), Freshness.EXPIRED);
	}

	private static ClockReading after(long monotonicMillis, long wallMillis) {
		return new ClockReading(READ.monotonicMillis() + monotonicMillis, READ.wallMillis() + wallMillis);
	}

}
