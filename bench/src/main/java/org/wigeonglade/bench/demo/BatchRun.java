package org.wigeonglade.bench.demo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.bench.client.JobView;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.standins.engine.CompletionText;

/**
 * Submits one job, follows it and checks its results. A submission without a clear answer
 * is sent again under the same key.
 */
final class BatchRun {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final long POLL_MILLIS = 250;

	private static final int DEFAULT_MAX_TOKENS = 256;

	private final Vertx vertx;

	private final ServingClient client;

	private final LoadBalancer balancer;

	private final BatchJob job;

	private final String key;

	private final long endNanos;

	private volatile String batchId = "";

	private volatile String rejection = "";

	private volatile boolean finished;

	private volatile int completedSoFar;

	private volatile String results = "";

	BatchRun(Vertx vertx, ServingClient client, LoadBalancer balancer, BatchJob job, String key, Duration limit) {
		this.vertx = vertx;
		this.client = client;
		this.balancer = balancer;
		this.job = job;
		this.key = key;
		this.endNanos = System.nanoTime() + limit.toNanos();
	}

	Future<Void> start() {
		return submit().compose((accepted) -> (accepted) ? follow() : Future.succeededFuture());
	}

	String getRejection() {
		return this.rejection;
	}

	String getBatchId() {
		return this.batchId;
	}

	boolean isFinished() {
		return this.finished;
	}

	int getCompletedSoFar() {
		return this.completedSoFar;
	}

	String getResults() {
		return this.results;
	}

	Check check() {
		return (this.batchId.isEmpty()) ? new Check() : check(this.job, this.results);
	}

	static Check check(BatchJob job, String results) {
		Check check = new Check();
		check.accepted = job.customIds().size();
		Set<String> seen = new HashSet<>();
		Map<String, String> failures = new HashMap<>();
		for (String line : results.split("\n")) {
			if (!line.isBlank()) {
				checkLine(job, line, check, seen, failures);
			}
		}
		Set<String> lost = new HashSet<>(job.customIds());
		lost.removeAll(seen);
		check.lost = lost.size();
		check.failures = failures;
		return check;
	}

	private static void checkLine(BatchJob job, String line, Check check, Set<String> seen,
			Map<String, String> failures) {
		JsonObject outcome;
		try {
			outcome = new JsonObject(line);
		}
		catch (DecodeException ex) {
			check.wrong++;
			return;
		}
		String customId = outcome.getString("custom_id", "");
		if (!seen.add(customId)) {
			check.duplicates++;
			return;
		}
		String text = JobView.text(outcome);
		if (text.startsWith(JobView.FAILED)) {
			check.failed++;
			failures.put(customId, outcome.encode());
			return;
		}
		check.completed++;
		JsonObject body = job.body(customId);
		int maxTokens = body.getInteger("max_tokens", DEFAULT_MAX_TOKENS);
		if (!text.equals(CompletionText.answer(BatchJob.prompt(body), maxTokens))) {
			check.wrong++;
		}
	}

	private Future<Boolean> submit() {
		FleetMember member = this.balancer.next();
		Map<String, String> headers = Map.of("content-type", "application/jsonl", "idempotency-key", this.key);
		return this.client
			.send(HttpMethod.POST, member.clientPort(), "/v1/batches", Buffer.buffer(this.job.bytes()), headers,
					TIMEOUT)
			.transform((sent) -> {
				if (sent.succeeded() && sent.result().isSuccess()) {
					this.batchId = sent.result().body().toJsonObject().getString("id", "");
					return Future.succeededFuture(true);
				}
				if (sent.succeeded() && !mayRepeat(sent.result())) {
					this.rejection = "status " + sent.result().status() + " " + sent.result().body();
					return Future.succeededFuture(false);
				}
				if (sent.failed()) {
					this.balancer.pause(member);
				}
				this.rejection = (sent.succeeded()) ? "status " + sent.result().status() + " " + sent.result().body()
						: String.valueOf(sent.cause().getMessage());
				if (isOver()) {
					return Future.succeededFuture(false);
				}
				return pause().compose((ignored) -> submit());
			});
	}

	private static boolean mayRepeat(HttpReply reply) {
		return reply.status() >= 500 || reply.status() == 429;
	}

	private Future<Void> follow() {
		FleetMember member = this.balancer.next();
		return get(member, "/v1/batches/" + this.batchId).transform((read) -> {
			if (read.succeeded() && read.result().isSuccess()) {
				accept(read.result().body().toJsonObject());
			}
			else if (read.failed()) {
				this.balancer.pause(member);
			}
			if (this.finished) {
				return download();
			}
			return (isOver()) ? download() : pause().compose((ignored) -> follow());
		});
	}

	private void accept(JsonObject status) {
		this.completedSoFar = status.getInteger("completed", 0);
		this.finished = JobView.isEnded(status);
	}

	private Future<Void> download() {
		FleetMember member = this.balancer.next();
		return get(member, "/v1/batches/" + this.batchId + "/results").transform((read) -> {
			if (read.succeeded() && read.result().isSuccess()) {
				this.results = read.result().body().toString(StandardCharsets.UTF_8);
				return Future.succeededFuture();
			}
			this.balancer.pause(member);
			return (isOver()) ? Future.succeededFuture() : pause().compose((ignored) -> download());
		});
	}

	private Future<HttpReply> get(FleetMember member, String path) {
		return this.client.send(HttpMethod.GET, member.clientPort(), path, null, Map.of(), TIMEOUT);
	}

	private boolean isOver() {
		return System.nanoTime() - this.endNanos > 0;
	}

	private Future<Void> pause() {
		return this.vertx.timer(POLL_MILLIS, TimeUnit.MILLISECONDS).mapEmpty();
	}

	/**
	 * Counts what the results of a job show.
	 */
	static final class Check {

		private int accepted;

		private int completed;

		private int failed;

		private int duplicates;

		private int lost;

		private int wrong;

		private Map<String, String> failures = Map.of();

		int getAccepted() {
			return this.accepted;
		}

		int getCompleted() {
			return this.completed;
		}

		int getFailed() {
			return this.failed;
		}

		int getDuplicates() {
			return this.duplicates;
		}

		int getLost() {
			return this.lost;
		}

		int getWrong() {
			return this.wrong;
		}

		Map<String, String> getFailures() {
			return this.failures;
		}

	}

}
