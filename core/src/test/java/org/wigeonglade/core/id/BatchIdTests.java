package org.wigeonglade.core.id;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Guards against batch identifiers without a valid partition, and against a partition
 * that changes in the text form.
 */
public class BatchIdTests {

	@DataProvider
	Object[][] malformed() {
		return new Object[][] { { null }, { "" }, { "batch-1" }, { "batch--abcdefgh" }, { "batch-1024-abcdefgh" },
				{ "batch-12345-abcdefgh" }, { "batch-1-abc" }, { "batch-1-abcdefg!" }, { "job-1-abcdefgh" } };
	}

	@Test(dataProvider = "malformed", expectedExceptions = InvalidRequestException.class)
	void rejectsMalformedText(String text) {
		BatchId.parse(text);
	}

	@Test
	void textFormKeepsThePartition() {
		BatchId id = new BatchId(17, "abcdefgh12");
		Assert.assertEquals(BatchId.parse(id.toString()), id);
	}

}
