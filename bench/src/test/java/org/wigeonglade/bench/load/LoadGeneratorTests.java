package org.wigeonglade.bench.load;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.bench.client.Answer;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Guards against figures that look better than what clients saw: omitted waiting, noise
 * reported as a change, or arrivals that differ between runs of one seed.
 */
public class LoadGeneratorTests {

	@Test
	void plannedArrivalsDependOnTheSeedOnly() {
		LoadPlan plan = LoadPlan.steady("a", 7, 1000, Duration.ofSeconds(10))
			.withBursts(Duration.ofSeconds(5), Duration.ofSeconds(1), 4);
		long[] arrivals = plan.arrivals();
		Assert.assertEquals(arrivals, plan.arrivals());
		Assert.assertNotEquals(arrivals, plan.withSeed(8).arrivals());
		long inBursts = java.util.Arrays.stream(arrivals).filter((t) -> t % 5_000_000_000L < 1_000_000_000L).count();
		Assert.assertEquals(inBursts / 8000.0, 1, 0.05);
		Assert.assertEquals((arrivals.length - inBursts) / 8000.0, 1, 0.05);
	}

	@Test(expectedExceptions = InvalidRequestException.class)
	void refusesAnUnboundedPlan() {
		LoadPlan.steady("a", 1, 1_000_000, Duration.ofMinutes(30));
	}

	@Test
	void aStallCountsForEveryRequestThatWaitedForIt() throws Exception {
		Vertx vertx = Vertx.vertx();
		Promise<Void> stallOver = Promise.promise();
		AtomicBoolean stalled = new AtomicBoolean();
		LoadMeasurement run = LoadGenerator
			.run(vertx, LoadPlan.steady("stall", 1, 500, Duration.ofMillis(200)), (index) -> {
				// The stall begins with the first request, however late the generator
				// starts.
				if (stalled.compareAndSet(false, true)) {
					vertx.setTimer(400, (id) -> stallOver.complete());
				}
				return stallOver.future().compose((ignored) -> answer());
			})
			.toCompletionStage()
			.toCompletableFuture()
			.get(20, TimeUnit.SECONDS);
		Assert.assertTrue(run.figures().get("first_token_p50_ms") >= 200, run.figures().toString());
		Assert.assertEquals(run.figures().get("answered"), run.figures().get("sent"));
		vertx.close();
	}

	@Test
	void reportsADifferenceOnlyOutsideTheSpread() throws Exception {
		LoadReport before = report(10, 12);
		Assert.assertFalse(LoadComparison.compare(before, report(11, 14)).get(0).isOutsideSpread());
		LoadComparison.Row row = LoadComparison.compare(before, report(20, 24)).get(0);
		Assert.assertTrue(row.isOutsideSpread());
		Assert.assertEquals(row.changePercent(), 100, 1e-9);
		Path folder = Files.createTempDirectory("load-report");
		LoadReport read = LoadReportFiles.read(LoadReportFiles.write(before, folder, "r"));
		Assert.assertEquals(read, before);
		String page = Files.readString(folder.resolve("r.html"));
		Assert.assertTrue(page.contains("<svg") && page.contains("&lt;title&gt;"), page);
		Assert.assertEquals(Files.readAllLines(folder.resolve("r.csv")).size(), 3);
	}

	private static LoadReport report(double... values) {
		List<LoadMeasurement> runs = java.util.Arrays.stream(values)
			.mapToObj((value) -> new LoadMeasurement("r", 1, Map.of("p95", value),
					Map.of("c", List.of(new LoadMeasurement.Point(50, value)))))
			.toList();
		return new LoadReport("<title>", Map.of("command", "bench"), runs);
	}

	private static Future<Answer> answer() {
		long now = System.nanoTime();
		return Future.succeededFuture(new Answer(200, "a", 1, true, "", "", "r", now, now, now, 0));
	}

}
