package org.wigeonglade.gateway.host;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a host that, while shutting down, accepts requests which it cannot
 * complete, or closes connections before the load balancer has detected the shutdown.
 */
public class GracefulShutdownTests {

	private static final GracefulShutdown SHUTDOWN = new GracefulShutdown(1_000, Duration.ofSeconds(8));

	private static final long ANSWER_END = 7_200;

	private static final int PAIRS = 20_000;

	@DataProvider
	public Object[][] phases() {
		return new Object[][] { { 0, true, true, false }, { 2_799, true, true, false }, { 2_800, false, true, false },
				{ 4_799, false, true, false }, { 4_800, false, false, false }, { 7_200, false, false, false },
				{ 7_349, false, false, false }, { 7_350, false, false, true } };
	}

	@Test(dataProvider = "phases")
	public void eachPhaseOfTheGracePeriodAllowsLess(long elapsed, boolean idle, boolean items, boolean over) {
		long now = SHUTDOWN.startMillis() + elapsed;
		Assert.assertEquals(SHUTDOWN.isKeepingIdleConnections(now), idle);
		Assert.assertEquals(SHUTDOWN.isRunningItems(now), items);
		Assert.assertEquals(SHUTDOWN.isOver(now), over);
	}

	@DataProvider
	public Object[][] limits() {
		return new Object[][] { { 0, 60_000, true }, { 2_799, 5_000, true }, { 2_800, 5_000, false },
				{ 2_800, 4_400, true }, { 2_800, 4_401, false }, { 4_799, 5_000, false }, { 4_800, 1_500, true },
				{ 5_700, 1_500, true }, { 5_701, 1_500, false }, { 7_199, 1, true }, { 7_200, 0, false } };
	}

	// Guards against a request that is accepted late and cut off before its own limit,
	// and against the refusal of one that fits.
	@Test(dataProvider = "limits")
	public void lateRequestIsAcceptedIfItsLimitFitsIntoTheRest(long elapsed, long limit, boolean accepted) {
		long now = SHUTDOWN.startMillis() + elapsed;
		Assert.assertEquals(SHUTDOWN.admit(now + limit, now),
				accepted ? OptionalLong.of(SHUTDOWN.startMillis() + ANSWER_END) : OptionalLong.empty());
	}

	@DataProvider
	public Object[][] gracePeriods() {
		return new Object[][] { { 1, 1_000 }, { 2, 3_000 }, { 3, 8_000 }, { 4, 8_000 }, { 5, 30_000 } };
	}

	// Guards against an admission and an end of the process that are decided by different
	// times. A request may wait between its arrival and its admission.
	@Test(dataProvider = "gracePeriods")
	public void requestThatIsAcceptedLateHasTimeUntilItsLimit(long seed, long gracePeriodMillis) {
		Random random = new Random(seed);
		for (int i = 0; i < PAIRS; i++) {
			long start = random.nextLong(1_000_000);
			GracefulShutdown shutdown = new GracefulShutdown(start, Duration.ofMillis(gracePeriodMillis));
			long arrival = start + random.nextLong(gracePeriodMillis);
			long now = arrival + (random.nextBoolean() ? random.nextLong(1_000) : 0);
			long limitEnd = arrival + 1 + random.nextLong(gracePeriodMillis);
			OptionalLong answerBy = shutdown.admit(limitEnd, now);
			String text = "seed " + seed + ": " + shutdown + ", arrival " + arrival + ", now " + now + ", limit ends "
					+ limitEnd + ": " + answerBy;
			boolean late = !shutdown.isKeepingIdleConnections(now);
			if (answerBy.isPresent()) {
				Assert.assertFalse(shutdown.isOver(answerBy.getAsLong()), text);
				Assert.assertFalse(shutdown.isOver(now), text);
				Assert.assertTrue(!late || limitEnd <= answerBy.getAsLong(), text);
			}
			else {
				Assert.assertTrue(limitEnd > shutdown.getAnswerEndMillis() || now >= shutdown.getAnswerEndMillis(),
						text);
			}
		}
	}

	// Guards against a process that is killed at the end of the grace period.
	@Test(dataProvider = "gracePeriods")
	public void processEndsWithinTheGracePeriod(long seed, long gracePeriodMillis) {
		GracefulShutdown shutdown = new GracefulShutdown(seed, Duration.ofMillis(gracePeriodMillis));
		Assert.assertTrue(shutdown.isOver(seed + gracePeriodMillis - 1));
		Assert.assertFalse(shutdown.isOver(shutdown.getAnswerEndMillis()));
	}

}
