package org.wigeonglade.entry.online;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.IntStream;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.host.HostFixture;

/**
 * Guards against answers that are repeated, incomplete or mixed up when runners fail, and
 * against a poison request that takes more than two runners.
 */
public class OnlineFailureTests {

	private static final String BODY = "{\"model\":\"runo-1\",\"prompt\":\"%s\",\"max_tokens\":6,\"stream\":%s}";

	private static final String WHOLE = "t0 t1 t2 t3 t4 t5 ";

	@Test
	public void resumesAtTheNextTokenAfterALoss() {
		Set<Integer> resumedAt = ConcurrentHashMap.newKeySet();
		AtomicInteger runs = new AtomicInteger();
		Function<EngineRequest, Multi<EngineEvent>> flaky = (request) -> {
			resumedAt.add(request.resumeTokens().size());
			return (runs.incrementAndGet() == 1) ? cutAfter(request, 3, true) : HostFixture.answer(request);
		};
		HostFixture fixture = new HostFixture().withEngine("runner-1", flaky).withEngine("runner-2", flaky);
		HttpResponse<String> response = once(fixture, BODY.formatted("Kevat", "false"));
		Assert.assertEquals(response.statusCode(), 200, response.body());
		Assert.assertTrue(response.body().contains("\"" + WHOLE + "\""), response.body());
		Assert.assertEquals(resumedAt, Set.of(0, 3));
	}

	@Test
	public void retriesWhenTheRunnerIsLostBeforeTheFirstByte() {
		AtomicInteger runs = new AtomicInteger();
		Function<EngineRequest, Multi<EngineEvent>> flaky = (request) -> (runs.incrementAndGet() == 1)
				? Multi.createFrom().failure(lost(ExecutionState.NOT_RUN, false)) : HostFixture.answer(request);
		HostFixture fixture = new HostFixture().withEngine("runner-1", flaky).withEngine("runner-2", flaky);
		HttpResponse<String> response = once(fixture, BODY.formatted("Kesa", "true"));
		Assert.assertEquals(response.statusCode(), 200, response.body());
		Assert.assertTrue(response.body().endsWith("[DONE]\n\n"), response.body());
		Assert.assertEquals(runs.get(), 2);
	}

	// Guards against a refusal that says "not run" after an earlier attempt was started.
	@Test
	public void lostAttemptIsToldAlthoughTheLastOneDidNotRun() {
		AtomicInteger runs = new AtomicInteger();
		HostFixture fixture = new HostFixture().withEngine("runner-1", (request) -> Multi.createFrom()
			.failure(lost((runs.incrementAndGet() == 1) ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN, false)));
		HttpResponse<String> response = once(fixture, BODY.formatted("Halla", "false"));
		Assert.assertTrue(runs.get() > 1, "the request was not tried again");
		Assert.assertTrue(response.body().contains("\"ran\":\"unknown\""), response.body());
	}

	@Test
	public void incompleteStreamEndsAsErrorEvent() {
		HostFixture fixture = new HostFixture().withEngine("runner-1", (request) -> cutAfter(request, 1, false));
		HttpResponse<String> response = once(fixture, BODY.formatted("Syksy", "true"));
		Assert.assertTrue(response.body().contains("event: error\ndata: {\"error\":{\"code\":\"WG-4005\""),
				response.body());
		Assert.assertFalse(response.body().contains("[DONE]"), response.body());
	}

	@Test
	public void answerWithAGapOrARepetitionIsNotPassedOn() {
		for (int wrong : List.of(0, 2)) {
			HostFixture fixture = new HostFixture().withEngine("runner-1",
					(request) -> Multi.createFrom()
						.items(new EngineEvent.Token(request.resumeTokens().size(), "x"),
								new EngineEvent.Token(request.resumeTokens().size() + wrong, "y"),
								new EngineEvent.End("stop", 1, 2)));
			HttpResponse<String> response = once(fixture, BODY.formatted("Talvi", "false"));
			Assert.assertEquals(response.statusCode(), 502, response.body());
			Assert.assertTrue(response.body().contains("WG-4005"), response.body());
		}
	}

	@DataProvider
	public Object[][] runnerCounts() {
		return new Object[][] { { 1 }, { 2 } };
	}

	// Guards against a suspected request that waits until its deadline because every
	// runner has crashed once and no other request comes that would probe them.
	@Test(dataProvider = "runnerCounts")
	public void suspectedRequestRunsOnARunnerThatCameBack(int runners) {
		Set<String> crashedOnce = ConcurrentHashMap.newKeySet();
		HostFixture fixture = new HostFixture();
		for (int i = 1; i <= runners; i++) {
			fixture.withEngine("runner-" + i, (request) -> crashedOnce.add(request.prompt())
					? Multi.createFrom().failure(lost(ExecutionState.UNKNOWN, true)) : HostFixture.answer(request));
		}
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			for (String prompt : List.of("Kevat", "Kesa")) {
				long start = System.nanoTime();
				HttpResponse<String> response = fixture.post(host, "/v1/completions", BODY.formatted(prompt, "false"));
				Assert.assertEquals(response.statusCode(), 200, response.body());
				// Less than the drain limit of 5 s: a host that stops must finish such
				// requests.
				Assert.assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(4), "the answer came late");
			}
		}
		finally {
			host.kill();
		}
	}

	@Test
	public void poisonRequestTakesAtMostTwoRunners() throws Exception {
		Set<String> lostRunners = ConcurrentHashMap.newKeySet();
		HostFixture fixture = new HostFixture();
		for (int i = 1; i <= 6; i++) {
			String name = "runner-" + i;
			fixture.withEngine(name, (request) -> {
				if (request.prompt().contains("poison")) {
					lostRunners.add(name);
					return Multi.createFrom().failure(lost(ExecutionState.UNKNOWN, true));
				}
				return HostFixture.answer(request);
			});
		}
		EntryHost host = fixture.builder().build();
		host.start();
		try (ExecutorService callers = Executors.newFixedThreadPool(16)) {
			List<CompletableFuture<HttpResponse<String>>> answers = IntStream.range(0, 200)
				.mapToObj((i) -> CompletableFuture.supplyAsync(
						() -> fixture.post(host, "/v1/completions", BODY.formatted("poison", "false")), callers))
				.toList();
			for (CompletableFuture<HttpResponse<String>> answer : answers) {
				HttpResponse<String> response = answer.get(30, TimeUnit.SECONDS);
				Assert.assertEquals(response.statusCode(), 422, response.body());
				Assert.assertTrue(response.body().contains("WG-4291"), response.body());
			}
			Assert.assertTrue(lostRunners.size() <= 2, "lost " + lostRunners);
			HttpResponse<String> harmless = fixture.post(host, "/v1/completions", BODY.formatted("Ruusu", "false"));
			Assert.assertEquals(harmless.statusCode(), 200, harmless.body());
		}
		finally {
			host.kill();
		}
	}

	@Test
	public void overloadIsRefusedAtOnceAndTruly() throws Exception {
		AtomicInteger started = new AtomicInteger();
		HostFixture fixture = new HostFixture().withEngine("runner-1", (request) -> {
			started.incrementAndGet();
			return Uni.createFrom()
				.item(request)
				.onItem()
				.delayIt()
				.by(Duration.ofMillis(3000))
				.onItem()
				.transformToMulti(HostFixture::answer);
		});
		EntryHost host = fixture.builder().build();
		host.start();
		try (ExecutorService callers = Executors.newFixedThreadPool(40)) {
			List<CompletableFuture<HttpResponse<String>>> answers = IntStream.range(0, 24)
				.mapToObj((i) -> CompletableFuture.supplyAsync(
						() -> fixture.post(host, "/v1/completions", BODY.formatted("prompt " + i, "false")), callers))
				.toList();
			int refused = 0;
			for (CompletableFuture<HttpResponse<String>> answer : answers) {
				Map<String, List<String>> headers = answer.get(30, TimeUnit.SECONDS).headers().map();
				if (answer.get().statusCode() == 503) {
					Assert.assertTrue(answer.get().body().contains("\"ran\":\"not_run\""), answer.get().body());
					Assert.assertTrue(headers.containsKey("retry-after"), headers.toString());
					refused++;
				}
			}
			Assert.assertTrue(refused > 0, "nothing was refused");
			Assert.assertEquals(refused + started.get(), 24);
		}
		finally {
			host.kill();
		}
	}

	private static HttpResponse<String> once(HostFixture fixture, String body) {
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			return fixture.post(host, "/v1/completions", body);
		}
		finally {
			host.kill();
		}
	}

	private static Multi<EngineEvent> cutAfter(EngineRequest request, int tokens, boolean crashed) {
		List<EngineEvent> events = IntStream.range(request.resumeTokens().size(), tokens)
			.<EngineEvent>mapToObj((i) -> new EngineEvent.Token(i, "t" + i + " "))
			.toList();
		UpstreamException failure = crashed ? lost(ExecutionState.RAN, true)
				: new UpstreamException(ErrorCode.STREAM_INCOMPLETE, ExecutionState.RAN, false, "no end mark", null);
		return Multi.createBy()
			.concatenating()
			.streams(Multi.createFrom().iterable(events), Multi.createFrom().failure(failure));
	}

	private static UpstreamException lost(ExecutionState ran, boolean crashed) {
		return new UpstreamException(ErrorCode.UPSTREAM_FAILED, ran, crashed, "connection lost", null);
	}

}
