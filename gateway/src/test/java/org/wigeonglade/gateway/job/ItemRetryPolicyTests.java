package org.wigeonglade.gateway.job;

import java.time.Duration;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against items that are given up too early or retried without end.
 */
public class ItemRetryPolicyTests {

	@Test(dataProvider = "responses")
	public void itemIsGivenUpOnlyAfterTheLastAttempt(int status, int failures, boolean givenUp) {
		boolean limitReached = ItemRetryPolicy.giveUpAfter(failures, 3).isPresent();
		Assert.assertEquals(ItemRetryPolicy.isPermanent(status) || limitReached, givenUp);
	}

	// Only responses with status 500 are counted as failures.
	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { 422, 0, true }, { 500, 2, false }, { 500, 3, true }, { 503, 0, false },
				{ 400, 1, false } };
	}

	@Test
	public void itemNeitherWaitsForItsVersionWithoutEndNorDiscardsLongOutputForAShortWait() {
		Assert.assertTrue(ItemRetryPolicy.mayBeginAnew(Duration.ofSeconds(2), Duration.ofSeconds(2)));
		Assert.assertFalse(ItemRetryPolicy.mayBeginAnew(Duration.ofMillis(1_999), Duration.ofSeconds(2)));
	}

	@Test
	public void itemIsGivenUpAfterRetention() {
		Assert.assertTrue(ItemRetryPolicy.giveUpAtAge(Duration.ofSeconds(61), Duration.ofSeconds(60)).isPresent());
		Assert.assertTrue(ItemRetryPolicy.giveUpAtAge(Duration.ofSeconds(60), Duration.ofSeconds(60)).isEmpty());
		Assert.assertTrue(ItemRetryPolicy.giveUpAtAge(Duration.ofDays(1), Duration.ZERO).isEmpty());
	}

}
