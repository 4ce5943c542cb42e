package org.wigeonglade.core.retry;

import java.time.Duration;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against retries that multiply the load of a failing service, and against a
 * poison request that is not quarantined after two crashes because of the order in which
 * the notices arrive.
 */
public class RetryDecisionTests {

	@Test
	public void retriesAreBoundedBySuccessesAndMinimumRate() {
		RetryBudget budget = RetryBudget.initial(0);
		int allowed = 0;
		while (budget.allows(0)) {
			budget = budget.plusRetry(0);
			allowed++;
		}
		Assert.assertEquals(allowed, 10);
		for (int i = 0; i < 100; i++) {
			budget = budget.plusSuccess(10, 0);
		}
		int earned = 0;
		while (budget.allows(0)) {
			budget = budget.plusRetry(0);
			earned++;
		}
		Assert.assertTrue(earned == 9 || earned == 10, "earned " + earned);
		Assert.assertTrue(budget.allows(Duration.ofSeconds(2).toNanos()));
	}

	@Test
	public void secondCrashQuarantinesWhateverTheOrderOfNotices() {
		Suspicion one = Suspicion.first("runner-1@1");
		Suspicion two = Suspicion.first("runner-2@1");
		Assert.assertFalse(one.quarantined());
		Assert.assertFalse(one.plus(one).quarantined());
		Assert.assertEquals(one.plus(two), two.plus(one));
		Assert.assertTrue(one.plus(two).quarantined());
		Assert.assertTrue(one.plus(two).reason().contains("runner-1@1 and runner-2@1"));
	}

}
