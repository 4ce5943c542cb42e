package org.wigeonglade.bench.listing;

import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Guards against a measurement of listings that ends before the hosts have listed, or
 * does not count what they read.
 */
public class ListingBenchTests {

	@Test
	public void allHostsListAllJobs() throws Exception {
		JsonObject report = ListingBench.run(new ListingOptions(2, 2, 3, 2, 100, 50_000, 30, 0, 30));
		Assert.assertEquals(report.getInteger("hosts_with_results"), 2, report.encode());
		Assert.assertEquals(report.getInteger("jobs"), 6, report.encode());
		Assert.assertTrue(report.getDouble("listed_mb_per_host") > report.getDouble("stored_mb"), report.encode());
		Assert.assertTrue(report.getDouble("followed_mb_per_second_and_host") > 0, report.encode());
	}

	@Test(dataProvider = "invalid", expectedExceptions = InvalidRequestException.class,
			expectedExceptionsMessageRegExp = "--.* is .*, but must be .*")
	public void figureOutOfItsRangeIsNamed(int hosts, double rate, int items, int outputBytes) {
		Assert.assertNotNull(new ListingOptions(hosts, rate, 1, items, 0, outputBytes, 0, 0, 1));
	}

	@DataProvider
	public Object[][] invalid() {
		return new Object[][] { { 0, 1, 1, 0 }, { 1, 0, 1, 0 }, { 1, 1, 0, 0 }, { 1, 1, 1, 300_000 } };
	}

}
