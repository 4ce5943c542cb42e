package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.Map;
import java.util.Random;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.client.Answer;
import org.wigeonglade.bench.demo.FleetMember;
import org.wigeonglade.standins.engine.CompletionText;

/**
 * Sends online requests one after the other, each with a prompt of its own.
 */
final class OnlineClient implements Runnable {

	private static final Duration TIMEOUT = Duration.ofSeconds(8);

	private final Workload workload;

	private final int number;

	OnlineClient(Workload workload, int number) {
		this.workload = workload;
		this.number = number;
	}

	@Override
	public void run() {
		Random random = this.workload.random("online " + this.number);
		for (int i = 0; !this.workload.isStopped(); i++) {
			call("online " + this.workload.options().seed() + "/" + this.number + "/" + i, 4 + random.nextInt(28));
			this.workload.pause(5 + random.nextInt(20));
		}
	}

	private void call(String prompt, int maxTokens) {
		FleetMember member = this.workload.balancer().next();
		JsonObject body = new JsonObject().put("model", this.workload.fixture().deployment().modelService())
			.put("prompt", prompt)
			.put("max_tokens", maxTokens);
		Answer answer = Blocking
			.await(this.workload.client().complete(member.clientPort(), body, Map.of(), TIMEOUT).answer());
		if (answer.status() == 0) {
			this.workload.balancer().pause(member);
		}
		this.workload.recorder()
			.record(new HistoryEntry.OnlineCall(member.name(), prompt, CompletionText.answer(prompt, maxTokens),
					answer.sentNanos(), answer.endNanos(), answer.status(), answer.isWhole(), answer.text(),
					answer.errorCode(), answer.ran()));
	}

}
