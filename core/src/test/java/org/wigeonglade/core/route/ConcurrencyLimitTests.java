package org.wigeonglade.core.route;

import java.time.Duration;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.engine.LoadReport;

/**
 * Guards against a limit that grows while it is not used, that never decreases or that an
 * outdated report raises, and against a breaker that admits more than one probe.
 */
public class ConcurrencyLimitTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	@Test
	public void increasesOnlyWhenUsedAndDecreasesOnSlowResponses() {
		ConcurrencyLimit limit = ConcurrencyLimit.initial(0);
		Assert.assertEquals(limit.plusResponse(0.5, 0.5, 1, SECOND).getLimit(), limit.getLimit());
		ConcurrencyLimit grown = limit;
		for (int i = 0; i < 40; i++) {
			grown = grown.plusResponse(0.5, 0.5, grown.getLimit(), SECOND);
		}
		Assert.assertTrue(grown.getLimit() > limit.getLimit());
		ConcurrencyLimit lowered = grown.plusResponse(1.5, 0, grown.getLimit(), 2 * SECOND);
		Assert.assertTrue(lowered.getLimit() < grown.getLimit());
		Assert.assertEquals(lowered.plusResponse(1.5, 0, 20, 2 * SECOND + 1).getLimit(), lowered.getLimit());
	}

	@Test
	public void reportNeverRaisesTheLimit() {
		ConcurrencyLimit limit = ConcurrencyLimit.initial(0);
		Assert.assertEquals(limit.withReport(new LoadReport(4, 4, 3, 0)).getLimit(), 4);
		Assert.assertEquals(limit.withReport(new LoadReport(400, 0, 0, 0)).getLimit(), limit.getLimit());
	}

	@Test
	public void slowStartBeginsWithLimitOne() {
		ConcurrencyLimit limit = ConcurrencyLimit.slowStart(0);
		Assert.assertEquals(limit.getLimit(), 1);
		Assert.assertEquals(limit.plusResponse(0.1, 0.1, 1, SECOND).getLimit(), 2);
	}

	@Test
	public void breakerAdmitsOneProbeAndBacksOff() {
		CircuitBreaker open = CircuitBreaker.CLOSED.plusFailure(true, 0);
		Assert.assertFalse(open.allows(1));
		Assert.assertTrue(open.allows(SECOND));
		CircuitBreaker probing = open.plusRequest();
		Assert.assertFalse(probing.allows(SECOND));
		CircuitBreaker reopened = probing.plusFailure(false, SECOND);
		Assert.assertFalse(reopened.allows(SECOND + SECOND / 2));
		Assert.assertTrue(reopened.allows(2 * SECOND + 1));
		Assert.assertTrue(probing.plusSuccess().allows(SECOND));
	}

}
