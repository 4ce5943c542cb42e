package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.bench.client.JobView;
import org.wigeonglade.bench.demo.FleetMember;
import org.wigeonglade.standins.engine.CompletionText;

/**
 * Submits a job, sends it again under the same key even after it was accepted, and reads
 * its results until it ends.
 */
final class JobClient implements Runnable {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int MAX_TOKENS = 16;

	private final Workload workload;

	private final boolean cancel;

	private final String key;

	private final Map<String, String> prompts = new LinkedHashMap<>();

	private final Map<String, String> expected = new LinkedHashMap<>();

	private final StringBuilder lines = new StringBuilder();

	JobClient(Workload workload, int number, boolean cancel) {
		this.workload = workload;
		this.cancel = cancel;
		this.key = "job-" + workload.options().seed() + "-" + number;
		for (int i = 0; i < workload.options().itemsPerJob(); i++) {
			addItem("row-" + i, "batch " + this.key + "/" + i);
		}
	}

	@Override
	public void run() {
		String id = "";
		while (id.isEmpty() && !this.workload.isStopped()) {
			id = submit();
		}
		if (id.isEmpty()) {
			return;
		}
		submit();
		if (this.cancel) {
			cancel(id);
		}
		follow(id);
	}

	private void addItem(String customId, String prompt) {
		this.prompts.put(customId, prompt);
		this.expected.put(customId, CompletionText.answer(prompt, MAX_TOKENS));
		JsonObject body = new JsonObject().put("model", this.workload.fixture().deployment().modelService())
			.put("prompt", prompt)
			.put("max_tokens", MAX_TOKENS);
		this.lines.append(new JsonObject().put("custom_id", customId).put("body", body).encode()).append('\n');
	}

	private String submit() {
		Map<String, String> headers = Map.of("content-type", "application/jsonl", "idempotency-key", this.key);
		Optional<HttpReply> reply = send(HttpMethod.POST, "/v1/batches", Buffer.buffer(this.lines.toString()), headers);
		if (reply.isEmpty() || !reply.get().isSuccess()) {
			return "";
		}
		String id = reply.get().body().toJsonObject().getString("id", "");
		this.workload.recorder()
			.record(new HistoryEntry.JobAccepted(id, this.key, this.prompts, this.expected, System.nanoTime()));
		return id;
	}

	private void cancel(String id) {
		Optional<HttpReply> reply = Optional.empty();
		while (!this.workload.isStopped() && (reply.isEmpty() || !reply.get().isSuccess())) {
			reply = send(HttpMethod.POST, "/v1/batches/" + id + "/cancel", null, Map.of());
		}
		this.workload.recorder().record(new HistoryEntry.JobCancelled(id, System.nanoTime()));
	}

	private void follow(String id) {
		while (!this.workload.isStopped()) {
			Optional<HttpReply> status = send(HttpMethod.GET, "/v1/batches/" + id, null, Map.of());
			boolean ended = status.isPresent() && status.get().isSuccess()
					&& JobView.isEnded(status.get().body().toJsonObject());
			Optional<HttpReply> results = send(HttpMethod.GET, "/v1/batches/" + id + "/results", null, Map.of());
			if (results.isPresent() && results.get().isSuccess()) {
				Map<String, List<String>> outcomes = JobView.outcomes(results.get().body().toString());
				this.workload.recorder().record(new HistoryEntry.JobResults(id, outcomes, ended, System.nanoTime()));
				if (ended) {
					return;
				}
			}
		}
	}

	private Optional<HttpReply> send(HttpMethod method, String path, Buffer body, Map<String, String> headers) {
		FleetMember member = this.workload.balancer().next();
		Optional<HttpReply> reply = Blocking
			.tryAwait(this.workload.client().send(method, member.clientPort(), path, body, headers, TIMEOUT));
		if (reply.isEmpty()) {
			this.workload.balancer().pause(member);
		}
		this.workload.pause(this.workload.options().readMillis());
		return reply;
	}

}
