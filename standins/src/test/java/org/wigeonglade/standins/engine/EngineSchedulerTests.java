package org.wigeonglade.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;
import org.wigeonglade.standins.engine.EngineRecorder.Entry;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;

/**
 * Guards against an engine stand-in that hides faults which a real engine would show:
 * requests started out of order of arrival, a cache without eviction, or completions that
 * are not reproducible.
 */
public class EngineSchedulerTests {

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = this.vertx.createHttpClient();

	@AfterClass
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void startsRequestsInOrderOfArrival() throws Exception {
		EngineStandIn engine = EngineStandIn.builder().vertx(this.vertx).slots(1).start();
		engine.freeze(true);
		List<CompletableFuture<String>> answers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			int queued = i + 1;
			answers.add(complete(engine, "r" + i));
			while (engine.recorder().count(Kind.QUEUED) < queued) {
				Thread.onSpinWait();
			}
		}
		engine.freeze(false);
		answers.add(complete(engine, "r4"));
		for (CompletableFuture<String> answer : answers) {
			Assert.assertTrue(answer.get(20, TimeUnit.SECONDS).endsWith("data: [DONE]\n\n"));
		}
		List<String> started = engine.recorder()
			.entries()
			.stream()
			.filter((entry) -> entry.kind() == Kind.STARTED)
			.map(Entry::requestId)
			.toList();
		Assert.assertEquals(started, List.of("r0", "r1", "r2", "r3", "r4"));
		Assert.assertEquals(engine.recorder().maxRunning(), 1);
		engine.stop();
	}

	@Test
	void cacheEvictsTheLeastRecentlyUsedPrefix() {
		PrefixCache cache = new PrefixCache(2);
		String first = "a".repeat(64);
		cache.store(first, 1);
		cache.store("b".repeat(64), 2);
		Assert.assertEquals(cache.cachedChars(first + "tail"), 64);
		cache.store("c".repeat(64), 3);
		Assert.assertEquals(cache.cachedChars(first), 64);
		Assert.assertEquals(cache.cachedChars("b".repeat(64)), 0);
		Assert.assertEquals(cache.eventsAfter(3, Long.MAX_VALUE).get(0).stored(), false);
	}

	@Test
	void completionDependsOnItsPromptOnly() {
		Assert.assertEquals(CompletionText.answer("x", 30), CompletionText.answer("x", 30));
		Assert.assertNotEquals(CompletionText.answer("x", 30), CompletionText.answer("y", 30));
		Assert.assertEquals(CompletionText.tokens("[tokens:70] x", 100).size(), 70);
		Assert.assertEquals(CompletionText.finishReason("[tokens:70] x", 20), "length");
	}

	private CompletableFuture<String> complete(EngineStandIn engine, String id) {
		JsonObject body = new JsonObject().put("prompt", id).put("max_tokens", 3).put("stream", true).put("user", id);
		return this.client.request(HttpMethod.POST, engine.port(), "127.0.0.1", "/v1/completions")
			.compose((request) -> request.send(body.toBuffer()))
			.compose((response) -> response.body())
			.map((answer) -> answer.toString())
			.toCompletionStage()
			.toCompletableFuture();
	}

}
