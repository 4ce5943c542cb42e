package org.wigeonglade.bench.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wigeonglade.bench.client.Answer;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.standins.engine.CompletionText;

/**
 * Sends online requests at scheduled times, whatever the state of earlier ones, and
 * checks each whole answer. A request that was not answered is sent again to another
 * host, because its profile is idempotent. Latency counts from the scheduled time.
 */
final class OnlineRun {

	private static final int MAX_ATTEMPTS = 6;

	private static final long RESEND_DELAY_MILLIS = 50;

	private static final int MAX_TOKENS = 32;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);

	private final Vertx vertx;

	private final ServingClient client;

	private final LoadBalancer balancer;

	private final String model;

	private final Histogram firstToken = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger resent = new AtomicInteger();

	private final List<String> failures = new ArrayList<>();

	OnlineRun(Vertx vertx, ServingClient client, LoadBalancer balancer, String model) {
		this.vertx = vertx;
		this.client = client;
		this.balancer = balancer;
		this.model = model;
	}

	Future<Void> start(int requests, Duration window, long seed) {
		Random random = new Random(seed);
		List<Future<Void>> calls = new ArrayList<>();
		for (int i = 0; i < requests; i++) {
			String prompt = "online " + seed + "/" + i + ": a verse for table " + random.nextInt(1000);
			long delay = 1 + (long) (random.nextDouble() * window.toMillis());
			calls.add(this.vertx.timer(delay, TimeUnit.MILLISECONDS).compose((ignored) -> {
				this.sent.incrementAndGet();
				return attempt(prompt, 1, System.nanoTime());
			}));
		}
		return Future.join(calls).mapEmpty();
	}

	int getSent() {
		return this.sent.get();
	}

	int getAnswered() {
		return this.answered.get();
	}

	int getResent() {
		return this.resent.get();
	}

	synchronized List<String> getFailures() {
		return List.copyOf(this.failures);
	}

	double getFirstTokenP95Millis() {
		return this.firstToken.getValueAtPercentile(95) / 1000.0;
	}

	private Future<Void> attempt(String prompt, int number, long scheduledNanos) {
		FleetMember member = this.balancer.next();
		JsonObject body = new JsonObject().put("model", this.model).put("prompt", prompt).put("max_tokens", MAX_TOKENS);
		return this.client.complete(member.clientPort(), body, Map.of(), TIMEOUT).answer().compose((answer) -> {
			if (answer.isWhole()) {
				return finish(prompt, answer, scheduledNanos);
			}
			if (answer.status() == 0) {
				this.balancer.pause(member);
			}
			if (number >= MAX_ATTEMPTS) {
				fail(prompt + " at " + member.name() + ": status " + answer.status() + " " + answer.errorCode());
				return Future.succeededFuture();
			}
			this.resent.incrementAndGet();
			return this.vertx.timer(RESEND_DELAY_MILLIS * number, TimeUnit.MILLISECONDS)
				.compose((ignored) -> attempt(prompt, number + 1, scheduledNanos));
		});
	}

	private Future<Void> finish(String prompt, Answer answer, long scheduledNanos) {
		if (answer.text().equals(CompletionText.answer(prompt, MAX_TOKENS))) {
			this.answered.incrementAndGet();
			long micros = (answer.firstTokenNanos() - scheduledNanos) / 1000;
			this.firstToken.recordValue(Math.max(1, Math.min(MAX_LATENCY_MICROS, micros)));
		}
		else {
			fail(prompt + ": the answer is not the one to this prompt");
		}
		return Future.succeededFuture();
	}

	private synchronized void fail(String reason) {
		this.failures.add(reason);
	}

}
