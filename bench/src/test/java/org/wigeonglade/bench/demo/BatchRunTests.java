package org.wigeonglade.bench.demo;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.standins.engine.CompletionText;

/**
 * Guards against a demo that reports success although an item is lost, has two outcomes
 * or the result of another item.
 */
public class BatchRunTests {

	private static final BatchJob JOB = BatchJob.generate("m", 3, 5);

	@DataProvider
	Object[][] results() {
		String whole = line(0, 0) + line(1, 1) + line(2, 2);
		return new Object[][] { { whole, 3, 0, 0, 0, 0 }, { line(0, 0) + line(1, 1), 2, 0, 0, 1, 0 },
				{ whole + line(1, 1), 3, 0, 1, 0, 0 }, { line(0, 1) + line(1, 0) + line(2, 2), 3, 0, 0, 0, 2 },
				{ "{\"custom_id\":\"row-0\",\"error\":{}}\n" + line(1, 1) + line(2, 2), 2, 1, 0, 0, 0 },
				{ "not json\n" + whole, 3, 0, 0, 0, 1 } };
	}

	@Test(dataProvider = "results")
	void countsWhatTheResultsShow(String results, int completed, int failed, int duplicates, int lost, int wrong) {
		BatchRun.Check check = BatchRun.check(JOB, results);
		Assert.assertEquals(check.getCompleted(), completed);
		Assert.assertEquals(check.getFailed(), failed);
		Assert.assertEquals(check.getDuplicates(), duplicates);
		Assert.assertEquals(check.getLost(), lost);
		Assert.assertEquals(check.getWrong(), wrong);
	}

	private static String line(int id, int answerOf) {
		JsonObject source = JOB.body("row-" + answerOf);
		String text = CompletionText.answer(BatchJob.prompt(source), source.getInteger("max_tokens"));
		JsonObject body = new JsonObject().put("choices", new JsonArray().add(new JsonObject().put("text", text)));
		return new JsonObject().put("custom_id", "row-" + id).put("status", "completed").put("result", body).encode()
				+ "\n";
	}

}
