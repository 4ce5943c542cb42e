package org.wigeonglade.bench.demo;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.bench.client.Answer;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.standins.engine.CompletionText;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;

/**
 * Guards against a fixture whose parts do not reach each other, which would let every
 * check that runs on it pass without load.
 */
public class FleetFixtureTests {

	@Test
	void answersThroughAHostAndCountsAtTheEngine() throws Exception {
		try (FleetFixture fixture = FleetFixture.builder(Deployment.MUISTOPUU.withSize(2, 2)).start()) {
			ServingClient client = ServingClient.of(fixture.vertx(), FleetConfigurations.API_KEY);
			JsonObject body = new JsonObject().put("model", "runokieli").put("prompt", "moss").put("max_tokens", 20);
			Answer answer = null;
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
			while ((answer == null || !answer.isWhole()) && System.nanoTime() < end) {
				answer = client.complete(fixture.members().get(1).clientPort(), body, Map.of(), Duration.ofSeconds(5))
					.answer()
					.toCompletionStage()
					.toCompletableFuture()
					.get(10, TimeUnit.SECONDS);
			}
			Assert.assertEquals(answer.text(), CompletionText.answer("moss", 20));
			long completed = fixture.engines()
				.stream()
				.mapToLong((engine) -> engine.recorder().count(Kind.COMPLETED))
				.sum();
			Assert.assertEquals(completed, 1);
			fixture.killHost(fixture.members().get(1));
			Assert.assertEquals(fixture.liveMembers().size(), 1);
		}
	}

}
