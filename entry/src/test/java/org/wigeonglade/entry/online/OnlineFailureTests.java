package org.wigeonglade.entry.online;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
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
 * Guards against responses with repeated, missing or reordered tokens when runners fail,
 * and against a poison request that crashes more than two runners.
 */
public class OnlineFailureTests {

	private static final String BODY = "{\"model\":\"runo-1\",\"prompt\":\"%s\",\"max_tokens\":6,\"stream\":%s}";

	private static final String COMPLETE_TEXT = "t0 t1 t2 t3 t4 t5 ";

	@Test
	public void resumesAtTheNextTokenAfterTheLossOfARunner() {
		Set<Integer> resumedAt = ConcurrentHashMap.newKeySet();
		AtomicInteger runs = new AtomicInteger();
		Function<EngineRequest, Multi<EngineEvent>> flaky = (request) -> {
			resumedAt.add(request.resumeTokens().size());
			return (runs.incrementAndGet() == 1) ? failAfter(request, 3, true) : HostFixture.answer(request);
		};
		HostFixture fixture = new HostFixture().withEngine("runner-1", flaky).withEngine("runner-2", flaky);
		HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Kevat", "false"));
		Assert.assertEquals(response.statusCode(), 200, response.body());
		Assert.assertTrue(response.body().contains("\"" + COMPLETE_TEXT + "\""), response.body());
		Assert.assertEquals(resumedAt, Set.of(0, 3));
	}

	@Test
	public void retriesWhenTheRunnerIsLostBeforeTheFirstByte() {
		AtomicInteger runs = new AtomicInteger();
		Function<EngineRequest, Multi<EngineEvent>> flaky = (request) -> (runs.incrementAndGet() == 1)
				? Multi.createFrom().failure(connectionLost(ExecutionState.NOT_RUN, false))
				: HostFixture.answer(request);
		HostFixture fixture = new HostFixture().withEngine("runner-1", flaky).withEngine("runner-2", flaky);
		HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Kesa", "true"));
		Assert.assertEquals(response.statusCode(), 200, response.body());
		Assert.assertTrue(response.body().endsWith("[DONE]\n\n"), response.body());
		Assert.assertEquals(runs.get(), 2);
	}

	// Guards against an error with "not_run" although an earlier attempt may have
	// run.
	@Test
	public void errorReportsAnEarlierAttemptAlthoughTheLastOneDidNotRun() {
		AtomicInteger runs = new AtomicInteger();
		HostFixture fixture = new HostFixture()
			.withEngine("runner-1",
					(request) -> Multi.createFrom()
						.failure(connectionLost(
								(runs.incrementAndGet() == 1) ? ExecutionState.UNKNOWN : ExecutionState.NOT_RUN,
								false)));
		HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Halla", "false"));
		Assert.assertTrue(runs.get() > 1, "the request was not tried again");
		Assert.assertTrue(response.body().contains("\"ran\":\"unknown\""), response.body());
	}

	@Test
	public void incompleteStreamEndsWithAnErrorEvent() {
		HostFixture fixture = new HostFixture().withEngine("runner-1", (request) -> failAfter(request, 1, false));
		HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Syksy", "true"));
		Assert.assertTrue(response.body().contains("event: error\ndata: {\"error\":{\"code\":\"WG-4005\""),
				response.body());
		Assert.assertFalse(response.body().contains("[DONE]"), response.body());
	}

	@Test
	public void responseWithAMissingOrRepeatedTokenIsNotForwarded() {
		for (int wrong : List.of(0, 2)) {
			HostFixture fixture = new HostFixture().withEngine("runner-1",
					(request) -> Multi.createFrom()
						.items(new EngineEvent.Token(request.resumeTokens().size(), "x"),
								new EngineEvent.Token(request.resumeTokens().size() + wrong, "y"),
								new EngineEvent.End("stop", 1, 2)));
			HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Talvi", "false"));
			Assert.assertEquals(response.statusCode(), 502, response.body());
			Assert.assertTrue(response.body().contains("WG-4005"), response.body());
		}
	}

	@Test
	public void streamIsNotContinuedByAnEngineOfAnotherVersion() {
		HostFixture fixture = new HostFixture();
		for (String version : List.of("a", "b")) {
			fixture.withEngine("runner-" + version, (request) -> request.resumeTokens().isEmpty()
					? failAfter(request, 2, version) : completeWith(request, version));
		}
		HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Talvi", "true"));
		boolean first = response.body().contains("a0 ");
		Assert.assertFalse(response.body().contains(first ? "b2 " : "a2 "), response.body());
		Assert.assertFalse(response.body().contains("[DONE]"), response.body());
	}

	@Test
	public void streamIsContinuedByAnotherEngineOfItsVersion() {
		HostFixture fixture = new HostFixture();
		for (String name : List.of("runner-1", "runner-2")) {
			fixture.withEngine(name, (request) -> request.resumeTokens().isEmpty() ? failAfter(request, 2, "a")
					: completeWith(request, "a"));
		}
		HttpResponse<String> response = postToNewHost(fixture, BODY.formatted("Talvi", "true"));
		Assert.assertTrue(response.body().contains("a2 "), response.body());
		Assert.assertTrue(response.body().contains("[DONE]"), response.body());
	}

	@DataProvider
	public Object[][] runnerCounts() {
		return new Object[][] { { 1 }, { 2 } };
	}

	// Guards against a suspected request that waits until its deadline because every
	// runner has crashed once, so that its circuit breaker is open, and no other
	// request arrives to probe it.
	@Test(dataProvider = "runnerCounts")
	public void suspectedRequestRunsOnARunnerThatRecovered(int runners) {
		Set<String> crashedOnce = ConcurrentHashMap.newKeySet();
		HostFixture fixture = new HostFixture();
		for (int i = 1; i <= runners; i++) {
			fixture.withEngine("runner-" + i,
					(request) -> crashedOnce.add(request.prompt())
							? Multi.createFrom().failure(connectionLost(ExecutionState.UNKNOWN, true))
							: HostFixture.answer(request));
		}
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			for (String prompt : List.of("Kevat", "Kesa")) {
				long start = System.nanoTime();
				HttpResponse<String> response = fixture.post(host, "/v1/completions", BODY.formatted(prompt, "false"));
				Assert.assertEquals(response.statusCode(), 200, response.body());
				// Less than the drain limit of 5 s, because a stopping host must
				// finish such requests.
				Assert.assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(4),
						"the response took 4 s or longer");
			}
		}
		finally {
			host.kill();
		}
	}

	@Test
	public void poisonRequestCrashesAtMostTwoRunners() throws Exception {
		Set<String> lostRunners = ConcurrentHashMap.newKeySet();
		HostFixture fixture = new HostFixture();
		for (int i = 1; i <= 6; i++) {
			String name = "runner-" + i;
			fixture.withEngine(name, (request) -> {
				if (request.prompt().contains("poison")) {
					lostRunners.add(name);
					return Multi.createFrom().failure(connectionLost(ExecutionState.UNKNOWN, true));
				}
				return HostFixture.answer(request);
			});
		}
		EntryHost host = fixture.builder().build();
		host.start();
		try (ExecutorService callers = Executors.newFixedThreadPool(16)) {
			List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, 200)
				.mapToObj((i) -> CompletableFuture.supplyAsync(
						() -> fixture.post(host, "/v1/completions", BODY.formatted("poison", "false")), callers))
				.toList();
			for (CompletableFuture<HttpResponse<String>> future : responses) {
				HttpResponse<String> response = future.get(30, TimeUnit.SECONDS);
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

	// Guards against chats that crash one runner after the other because they share a
	// message, though no two of them are alike.
	@Test
	public void unlikeChatsWithDeadlyMessageDoNotCrashRunnersWithoutEnd() {
		AtomicInteger crashes = new AtomicInteger();
		HostFixture fixture = new HostFixture();
		for (int i = 1; i <= 30; i++) {
			fixture.withEngine("runner-" + i, (request) -> {
				if (request.prompt().contains("deadly")) {
					crashes.incrementAndGet();
					return Multi.createFrom().failure(connectionLost(ExecutionState.UNKNOWN, true));
				}
				return HostFixture.answer(request);
			});
		}
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			for (int i = 0; i < 10; i++) {
				postChat(fixture, host, "deadly", "question " + i);
				Assert.assertEquals(postChat(fixture, host, "sound", "question " + i).statusCode(), 200);
			}
			Assert.assertTrue(crashes.get() <= 5, crashes + " runners crashed");
			Assert.assertEquals(postChat(fixture, host, "deadly", "last question").statusCode(), 422);
		}
		finally {
			host.kill();
		}
	}

	private static HttpResponse<String> postChat(HostFixture fixture, EntryHost host, String shared, String question) {
		return fixture.post(host, "/v1/chat/completions",
				"{\"model\":\"runo-1\",\"max_tokens\":3,\"messages\":[{\"role\":\"system\",\"content\":\"common\"},"
						+ "{\"role\":\"user\",\"content\":\"" + shared + "\"},{\"role\":\"user\",\"content\":\""
						+ question + "\"}]}");
	}

	@Test
	public void requestsRefusedForOverloadDoNotRun() throws Exception {
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
			List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, 24)
				.mapToObj((i) -> CompletableFuture.supplyAsync(
						() -> fixture.post(host, "/v1/completions", BODY.formatted("prompt " + i, "false")), callers))
				.toList();
			int refused = 0;
			for (CompletableFuture<HttpResponse<String>> future : responses) {
				Map<String, List<String>> headers = future.get(30, TimeUnit.SECONDS).headers().map();
				if (future.get().statusCode() == 503) {
					Assert.assertTrue(future.get().body().contains("\"ran\":\"not_run\""), future.get().body());
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

	private static HttpResponse<String> postToNewHost(HostFixture fixture, String body) {
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			return fixture.post(host, "/v1/completions", body);
		}
		finally {
			host.kill();
		}
	}

	private static Multi<EngineEvent> failAfter(EngineRequest request, int tokens, boolean connectionLost) {
		List<EngineEvent> events = IntStream.range(request.resumeTokens().size(), tokens)
			.<EngineEvent>mapToObj((i) -> new EngineEvent.Token(i, "t" + i + " "))
			.toList();
		UpstreamException failure = connectionLost ? connectionLost(ExecutionState.RAN, true)
				: new UpstreamException(ErrorCode.STREAM_INCOMPLETE, ExecutionState.RAN, false, "no end mark", null);
		return Multi.createBy()
			.concatenating()
			.streams(Multi.createFrom().iterable(events), Multi.createFrom().failure(failure));
	}

	private static Multi<EngineEvent> failAfter(EngineRequest request, int tokens, String version) {
		return Multi.createBy()
			.concatenating()
			.streams(Multi.createFrom().iterable(tokens(0, tokens, version)),
					Multi.createFrom().failure(connectionLost(ExecutionState.RAN, true)));
	}

	private static Multi<EngineEvent> completeWith(EngineRequest request, String version) {
		int first = request.resumeTokens().size();
		List<EngineEvent> events = new ArrayList<>(tokens(first, request.maxTokens(), version));
		events.add(new EngineEvent.End("length", 3, request.maxTokens()));
		return Multi.createFrom().iterable(events);
	}

	private static List<EngineEvent> tokens(int from, int to, String version) {
		return IntStream.range(from, to)
			.<EngineEvent>mapToObj((i) -> new EngineEvent.Token(i, version + i + " ", version))
			.toList();
	}

	private static UpstreamException connectionLost(ExecutionState executionState, boolean connectionLost) {
		return new UpstreamException(ErrorCode.UPSTREAM_FAILED, executionState, connectionLost, "connection lost",
				null);
	}

}
