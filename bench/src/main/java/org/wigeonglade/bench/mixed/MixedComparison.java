package org.wigeonglade.bench.mixed;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.demo.EntryHostStarter;
import org.wigeonglade.bench.demo.FleetConfigurations;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.demo.LoadBalancer;
import org.wigeonglade.bench.load.LoadGenerator;
import org.wigeonglade.bench.load.LoadMeasurement;
import org.wigeonglade.bench.load.LoadPlan;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.online.EndpointPolicy;

/**
 * Measures online work alone, online work during full batch work and batch work alone in
 * one run on one fleet, and the choice of runners against simpler policies.
 */
public final class MixedComparison {

	/** Largest first-token p95 under full batch work, relative to none. */
	private static final double RATIO_TARGET = 1.10;

	/** Least part of the slot time left by online work that batch work must use. */
	private static final double SLOT_TARGET = 0.90;

	private static final double FIRST_TOKEN_TARGET_MS = 560;

	private static final double GAP_TARGET_MS = 32;

	private static final int SLOTS = 8;

	/** Time between two tokens of a runner, in microseconds. */
	private static final long TOKEN_MICROS = 10_000;

	/** Time for a prompt token that is not cached, in microseconds. */
	private static final long PREFILL_MICROS = 200;

	private static final int PROMPT_CHARS = 1200;

	/** Prompts start with one of this many instructions of half their length. */
	private static final int APPLICATIONS = 20;

	private static final int MAX_TOKENS = 32;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final long WARM_UP_MILLIS = 3000;

	private static final Duration WARM_UP_LOAD = Duration.ofSeconds(8);

	private final Deployment deployment;

	private final double rate;

	private final Duration duration;

	private final long seed;

	private MixedComparison(Deployment deployment, double rate, Duration duration, long seed) {
		this.deployment = deployment;
		this.rate = rate;
		this.duration = duration;
		this.seed = seed;
	}

	/**
	 * Returns a bench.
	 * @param deployment the size and network, not null
	 * @param rate online requests per second outside of bursts
	 * @param duration the time of each part
	 * @param seed the seed of arrivals and prompts
	 * @return a bench, never null
	 */
	public static MixedComparison of(Deployment deployment, double rate, Duration duration, long seed) {
		return new MixedComparison(deployment, rate, duration, seed);
	}

	/**
	 * Runs all parts.
	 * @return the figures; {@code ok} is true only if every target was met
	 */
	public JsonObject run() {
		JsonObject result = new JsonObject();
		JsonObject baselines = new JsonObject();
		RoutingBaselines.all().forEach((name, policy) -> {
			try (FleetFixture fixture = start(policy)) {
				sleep(WARM_UP_MILLIS);
				// The first requests run before the compiler of the JVM has seen the
				// code.
				online(fixture, "warm-up", this.seed + 1, WARM_UP_LOAD);
				LoadMeasurement alone = online(fixture, "alone", this.seed, this.duration);
				baselines.put(name, describe(alone));
				if (name.equals(RoutingBaselines.OURS)) {
					measureMixed(fixture, alone, result);
				}
			}
		});
		return result.put("baselines", baselines).put("ok", isOk(result));
	}

	private void measureMixed(FleetFixture fixture, LoadMeasurement alone, JsonObject result) {
		submit(fixture);
		sleep(WARM_UP_MILLIS);
		long from = System.nanoTime();
		LoadMeasurement mixed = online(fixture, "mixed", this.seed, this.duration);
		SlotUse use = SlotUse.of(fixture.engines(), SLOTS, from, System.nanoTime());
		long batchFrom = System.nanoTime();
		sleep(this.duration.toMillis() / 2);
		SlotUse batchAlone = SlotUse.of(fixture.engines(), SLOTS, batchFrom, System.nanoTime());
		double aloneP95 = alone.figures().get("first_token_p95_ms");
		double mixedP95 = mixed.figures().get("first_token_p95_ms");
		double seconds = use.totalSeconds() / fixture.engines().size() / SLOTS;
		result.put("online_alone_p95_ms", aloneP95)
			.put("online_with_batch_p95_ms", mixedP95)
			.put("ratio", mixedP95 / aloneP95)
			.put("idle_slot_use", use.idleSlotUse())
			.put("online_slot_share", use.onlineSeconds() / use.totalSeconds())
			.put("items_per_s", use.batchCompleted() / seconds)
			.put("batch_alone_slot_use", batchAlone.idleSlotUse())
			.put("batch_alone_items_per_s", batchAlone.batchCompleted() / (this.duration.toMillis() / 2000.0))
			.put("gap_alone_p95_ms", alone.figures().get("longest_gap_p95_ms"))
			.put("gap_with_batch_p95_ms", mixed.figures().get("longest_gap_p95_ms"))
			.put("alone", describe(alone))
			.put("with_batch", describe(mixed));
	}

	private static boolean isOk(JsonObject result) {
		return result.getDouble("ratio") <= RATIO_TARGET && result.getDouble("idle_slot_use") >= SLOT_TARGET
				&& result.getDouble("online_with_batch_p95_ms") <= FIRST_TOKEN_TARGET_MS
				&& result.getDouble("gap_with_batch_p95_ms") <= GAP_TARGET_MS;
	}

	private static JsonObject describe(LoadMeasurement measurement) {
		JsonObject figures = new JsonObject();
		for (String name : new String[] { "sent", "answered", "failed", "first_token_p50_ms", "first_token_p95_ms",
				"first_token_p99_ms", "longest_gap_p95_ms", "generator_lateness_p99_ms" }) {
			figures.put(name, measurement.figures().get(name));
		}
		measurement.figures().forEach((name, value) -> {
			if (name.startsWith("error_")) {
				figures.put(name, value);
			}
		});
		return figures;
	}

	private FleetFixture start(Supplier<EndpointPolicy> policy) {
		return FleetFixture.builder(this.deployment)
			.logAppendsPerSecond(0)
			.starter(EntryHostStarter.create(Ticker.system()).withPolicy(policy))
			.engine((engine) -> engine.slots(SLOTS).tokenMicros(TOKEN_MICROS).prefillMicrosPerToken(PREFILL_MICROS))
			.start();
	}

	private LoadMeasurement online(FleetFixture fixture, String name, long planSeed, Duration time) {
		ServingClient client = ServingClient.of(fixture.vertx(), FleetConfigurations.API_KEY);
		LoadBalancer balancer = new LoadBalancer(fixture);
		LoadPlan plan = LoadPlan.steady(name, planSeed, this.rate, time)
			.withBursts(Duration.ofSeconds(4), Duration.ofMillis(500), 2);
		return await(LoadGenerator.run(fixture.vertx(), plan,
				(index) -> client
					.complete(balancer.next().clientPort(), request(prompt(name, index)), Map.of(), TIMEOUT)
					.answer()));
	}

	private void submit(FleetFixture fixture) {
		int items = (int) (this.deployment.runners() * SLOTS * 4 * (this.duration.toSeconds() * 2 + 6));
		StringBuilder lines = new StringBuilder();
		for (int i = 0; i < items; i++) {
			lines
				.append(new JsonObject().put("custom_id", "row-" + i)
					.put("body", request("row " + i + " of the night's job [tokens:" + (16 + i % 32) + "]"))
					.encode())
				.append('\n');
		}
		ServingClient client = ServingClient.of(fixture.vertx(), FleetConfigurations.API_KEY);
		HttpReply reply = await(client.send(HttpMethod.POST, new LoadBalancer(fixture).next().clientPort(),
				"/v1/batches", Buffer.buffer(lines.toString()), Map.of("content-type", "application/jsonl"),
				Duration.ofSeconds(30)));
		if (!reply.isSuccess()) {
			throw new IllegalStateException("the job was not accepted: " + reply.status() + " " + reply.body());
		}
	}

	private String prompt(String part, int index) {
		Random random = new Random(this.seed * 1_000_003 + index);
		String application = "Application " + random.nextInt(APPLICATIONS) + ": answer a guest politely. ";
		String instructions = application.repeat(PROMPT_CHARS / 2 / application.length());
		String question = "Question " + index + " of part " + part + " asks for " + random.nextInt(1_000_000) + ". ";
		return instructions + question.repeat(PROMPT_CHARS / 2 / question.length());
	}

	private JsonObject request(String prompt) {
		return new JsonObject().put("model", this.deployment.modelService())
			.put("prompt", prompt)
			.put("max_tokens", 2 * MAX_TOKENS);
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
