package org.wigeonglade.bench.mixed;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.demo.FleetConfigurations;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.demo.LoadBalancer;
import org.wigeonglade.bench.load.LoadGenerator;
import org.wigeonglade.bench.load.LoadMeasurement;
import org.wigeonglade.bench.load.LoadPlan;
import org.wigeonglade.bench.load.LoadReport;
import org.wigeonglade.bench.load.LoadReportFiles;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;

/**
 * Measures what batch work costs online requests and what online requests cost batch
 * work. Batch throughput comes from the engines' ledgers.
 */
public final class MixedBench {

	private static final int MAX_TOKENS = 32;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final long WARM_UP_MILLIS = 2000;

	private static final String BATCH = "bench batch ";

	private final Deployment deployment;

	private final LoadPlan plan;

	private final int runs;

	private final int items;

	private final Path folder;

	private MixedBench(Deployment deployment, LoadPlan plan, int runs, int items, Path folder) {
		this.deployment = deployment;
		this.plan = plan;
		this.runs = runs;
		this.items = items;
		this.folder = folder;
	}

	/**
	 * Returns a bench.
	 * @param deployment the size and network, not null
	 * @param plan the online load; its seed is raised by one for each repeated run
	 * @param runs the number of repeated runs of each kind, at least 1
	 * @param items the number of items of the job, more than can finish in the time
	 * @param folder receives the reports {@code online-only} and {@code mixed}
	 * @return a bench, never null
	 */
	public static MixedBench of(Deployment deployment, LoadPlan plan, int runs, int items, Path folder) {
		return new MixedBench(deployment, plan, Math.max(1, runs), items, folder);
	}

	/**
	 * Runs and writes both reports.
	 * @param out receives the spread of each figure
	 * @return the reports, first without and then with batch work
	 */
	public List<LoadReport> run(PrintStream out) {
		List<LoadReport> reports = new ArrayList<>();
		for (boolean batch : new boolean[] { false, true }) {
			List<LoadMeasurement> measurements = new ArrayList<>();
			for (int i = 0; i < this.runs; i++) {
				measurements.add(runOnce(this.plan.withSeed(this.plan.seed() + i), batch));
			}
			String name = (batch) ? "mixed" : "online-only";
			LoadReport report = new LoadReport(name, conditions(), measurements);
			LoadReportFiles.write(report, this.folder, name);
			out.println(name);
			report.spread()
				.forEach((figure, spread) -> out.printf(Locale.ROOT, "  %-28s %12.2f [%.2f..%.2f]%n", figure,
						spread.median(), spread.min(), spread.max()));
			reports.add(report);
		}
		return reports;
	}

	private LoadMeasurement runOnce(LoadPlan runPlan, boolean batch) {
		try (FleetFixture fixture = FleetFixture.builder(this.deployment).logAppendsPerSecond(0).start()) {
			ServingClient client = ServingClient.of(fixture.vertx(), FleetConfigurations.API_KEY);
			LoadBalancer balancer = new LoadBalancer(fixture);
			sleep(WARM_UP_MILLIS);
			if (batch) {
				submit(client, balancer, runPlan.seed());
				sleep(WARM_UP_MILLIS);
			}
			long before = batchTokens(fixture);
			long start = System.nanoTime();
			LoadMeasurement online = await(LoadGenerator.run(fixture.vertx(), runPlan,
					(index) -> client
						.complete(balancer.next().clientPort(), request("bench online " + runPlan.seed() + "/" + index),
								Map.of(), TIMEOUT)
						.answer()));
			double seconds = (System.nanoTime() - start) / 1e9;
			Map<String, Double> figures = new LinkedHashMap<>();
			figures.put("batch_tokens_per_s", (batchTokens(fixture) - before) / seconds);
			return online.plusFigures(figures);
		}
	}

	private void submit(ServingClient client, LoadBalancer balancer, long seed) {
		StringBuilder lines = new StringBuilder();
		for (int i = 0; i < this.items; i++) {
			lines.append(
					new JsonObject().put("custom_id", "row-" + i).put("body", request(BATCH + seed + "/" + i)).encode())
				.append('\n');
		}
		Map<String, String> headers = Map.of("content-type", "application/jsonl", "idempotency-key", "mixed-" + seed);
		HttpReply reply = await(client.send(HttpMethod.POST, balancer.next().clientPort(), "/v1/batches",
				Buffer.buffer(lines.toString()), headers, Duration.ofSeconds(30)));
		if (!reply.isSuccess()) {
			throw new IllegalStateException("the job was not accepted: " + reply.status() + " " + reply.body());
		}
	}

	private JsonObject request(String prompt) {
		return new JsonObject().put("model", this.deployment.modelService())
			.put("prompt", prompt)
			.put("max_tokens", MAX_TOKENS);
	}

	private static long batchTokens(FleetFixture fixture) {
		return fixture.engines()
			.stream()
			.flatMap((engine) -> engine.recorder().entries().stream())
			.filter((entry) -> entry.kind() == Kind.COMPLETED && entry.prompt().startsWith(BATCH))
			.mapToLong((entry) -> entry.tokens())
			.sum();
	}

	private Map<String, String> conditions() {
		return Map.of("deployment", this.deployment.name(), "entry hosts", String.valueOf(this.deployment.hosts()),
				"runners", String.valueOf(this.deployment.runners()), "online rate",
				this.plan.requestsPerSecond() + " requests/s", "duration", this.plan.duration().toString(),
				"first seed", String.valueOf(this.plan.seed()), "items", String.valueOf(this.items), "processors",
				String.valueOf(Runtime.getRuntime().availableProcessors()), "java", Runtime.version().toString());
	}

	private static <T> T await(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
