package org.wigeonglade.adapters.engine;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.http.HttpServer;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.adapters.AdapterFixture;
import org.wigeonglade.core.engine.CacheEvents.CacheEvent;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.standins.StandInServer;
import org.wigeonglade.standins.engine.CompletionText;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;
import org.wigeonglade.standins.engine.EngineStandIn;

/**
 * Guards against completions that are truncated without an error, confused with each
 * other, or not cancelled at the engine.
 */
public class HttpEngineClientTests {

	private static final String LONG_PROMPT = "[tokens:2000] " + "a long prefix ".repeat(20);

	private AdapterFixture fixture;

	private EngineStandIn engine;

	private HttpEngineClient client;

	@BeforeClass
	void open() {
		this.fixture = new AdapterFixture();
	}

	@AfterClass
	void close() {
		this.fixture.close();
	}

	@BeforeMethod
	void start() {
		this.engine = EngineStandIn.builder()
			.vertx(this.fixture.vertx())
			.slots(2)
			.maxQueue(1)
			.cacheEventDelayMillis(0)
			.start();
		this.client = client(this.engine.address());
	}

	@AfterMethod
	void stop() {
		this.engine.stop();
	}

	@Test
	void readsTheWholeCompletion() {
		List<EngineEvent> events = run(this.client, request("r1", "roses for the gate", 50, List.of()));
		Assert.assertEquals(text(events), CompletionText.answer("roses for the gate", 50));
		Assert.assertEquals(this.engine.recorder().startsByRequest(), Map.of("r1", 1));
	}

	@Test
	void tokensNameTheVersionOfTheEngine() {
		AdapterFixture.await(this.client.command(new EngineCommand(5, "m", "2", List.of("a"), "serve")));
		AdapterFixture.waitUntil(() -> this.engine.state().version().equals("2"), "loaded");
		List<EngineEvent> events = run(this.client, request("r11", "[tokens:2] x", 50, List.of()));
		Assert.assertEquals(((EngineEvent.Token) events.get(0)).version(), "2");
	}

	@Test
	void resumesAfterTheGivenTokens() {
		List<String> tokens = CompletionText.tokens("[tokens:12] x", 50);
		List<EngineEvent> events = run(this.client, request("r2", "[tokens:12] x", 50, tokens.subList(0, 5)));
		Assert.assertEquals(((EngineEvent.Token) events.get(0)).index(), 5);
		Assert.assertEquals(text(events), String.join("", tokens.subList(5, 12)));
		Assert.assertEquals(((EngineEvent.End) events.get(7)).completionTokens(), 12);
	}

	@Test
	void cancellingClosesTheStreamAtTheEngine() {
		Cancellable running = this.client.run(request("r3", LONG_PROMPT, 2000, List.of())).subscribe().with((event) -> {
		}, (failure) -> {
		});
		AdapterFixture.waitUntil(() -> this.engine.recorder().count(Kind.STARTED) == 1, "started");
		running.cancel();
		AdapterFixture.waitUntil(() -> this.engine.recorder().count(Kind.CANCELLED) == 1, "cancelled at the engine");
	}

	@Test
	void streamWithoutEndMarkerIsIncomplete() {
		this.engine.setDoneMarker(false);
		UpstreamException failure = expectFailure(this.client, request("r4", "abc", 50, List.of()));
		Assert.assertEquals(failure.getCode(), ErrorCode.STREAM_INCOMPLETE);
		Assert.assertEquals(failure.getExecutionState(), ExecutionState.RAN);
	}

	@Test
	void engineCrashFailsEveryRequestInProgress() {
		AtomicReference<Throwable> other = new AtomicReference<>();
		this.client.run(request("r5", LONG_PROMPT, 2000, List.of())).subscribe().with((event) -> {
		}, other::set);
		AdapterFixture.waitUntil(() -> this.engine.recorder().count(Kind.STARTED) == 1, "started");
		UpstreamException failure = expectFailure(this.client, request("r6", "[crash]", 50, List.of()));
		Assert.assertTrue(failure.isConnectionLost());
		Assert.assertEquals(failure.getExecutionState(), ExecutionState.UNKNOWN);
		AdapterFixture.waitUntil(() -> other.get() != null, "the other request failed");
		Assert.assertTrue(((UpstreamException) other.get()).isConnectionLost());
		// Until the listener is closed, a connection may be accepted and then lost.
		AdapterFixture.waitUntil(() -> refusesConnections(this.engine.port()), "listener closed");
		UpstreamException refused = expectFailure(this.client, request("r7", "abc", 50, List.of()));
		Assert.assertEquals(refused.getExecutionState(), ExecutionState.NOT_RUN);
		this.engine.restart();
		Assert.assertEquals(this.engine.incarnation(), 2);
		run(this.client, request("r8", "abc", 50, List.of()));
	}

	private static boolean refusesConnections(int port) {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
			return !socket.isConnected();
		}
		catch (IOException ex) {
			return true;
		}
	}

	@Test
	void fullQueueIsReportedAsNotRun() {
		for (int i = 0; i < 3; i++) {
			this.client.run(request("q" + i, LONG_PROMPT, 2000, List.of())).subscribe().with((event) -> {
			}, (failure) -> {
			});
		}
		AdapterFixture.waitUntil(() -> this.engine.recorder().count(Kind.QUEUED) == 3, "queued");
		UpstreamException failure = expectFailure(this.client, request("r9", "abc", 50, List.of()));
		Assert.assertEquals(failure.getExecutionState(), ExecutionState.NOT_RUN);
		Assert.assertFalse(this.engine.recorder().startsByRequest().containsKey("r9"));
		Assert.assertEquals(this.engine.recorder().maxRunning(), 2);
	}

	@Test
	void commandWithAStaleTermIsRejected() {
		AdapterFixture.await(this.client.command(new EngineCommand(5, "m", "2", List.of("a"), "serve")));
		AdapterFixture.waitUntil(() -> this.engine.state().version().equals("2"), "loaded");
		UpstreamException failure = AdapterFixture.expectFailure(UpstreamException.class,
				this.client.command(new EngineCommand(4, "m", "1", List.of(), "serve")));
		Assert.assertEquals(failure.getCode(), ErrorCode.COMMAND_FENCED);
		Assert.assertEquals(this.engine.state().version(), "2");
	}

	@Test
	void movesCachedPrefixesBetweenEngines() {
		run(this.client, request("r10", LONG_PROMPT, 1, List.of()));
		List<CacheEvent> events = AdapterFixture.await(this.client.cacheEvents(0)).events();
		Assert.assertEquals(events.size(), LONG_PROMPT.length() / 64);
		String hash = events.get(0).prefixHash();
		byte[] cache = AdapterFixture.await(this.client.exportCache(hash));
		AdapterFixture.await(this.client.importCache(hash, cache));
		AdapterFixture.expectFailure(UpstreamException.class, this.client.importCache("0000", cache));
		AdapterFixture.expectFailure(UpstreamException.class, this.client.exportCache("0000"));
		Assert.assertEquals(AdapterFixture.await(this.client.load()).slots(), 2);
	}

	@DataProvider
	Object[][] malformed() {
		return new Object[][] { { "data: {\n\n" }, { "data: {}\n\n" }, { "data: 7\n\n" },
				{ "data: {\"choices\":[{\"text\":5}]}\n\n" }, { "data: [DONE]\n\n" }, { "" }, { "garbage" },
				{ "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n" } };
	}

	@Test(dataProvider = "malformed")
	void malformedStreamFails(String body) {
		HttpServer server = StandInServer.await(this.fixture.vertx()
			.createHttpServer()
			.requestHandler((request) -> request.response().end(body))
			.listen(0, "127.0.0.1"));
		UpstreamException failure = expectFailure(client("127.0.0.1:" + server.actualPort()),
				request("m", "abc", 1, List.of()));
		Assert.assertFalse(failure.isConnectionLost());
		StandInServer.await(server.close());
	}

	private HttpEngineClient client(String address) {
		return HttpEngineClient.of(this.fixture.vertx(), this.fixture.client(), address);
	}

	private static EngineRequest request(String id, String prompt, int maxTokens, List<String> resume) {
		return new EngineRequest(RequestId.of(id), "m", prompt, maxTokens, resume, "");
	}

	private static List<EngineEvent> run(HttpEngineClient client, EngineRequest request) {
		return AdapterFixture.await(client.run(request).collect().asList());
	}

	private static UpstreamException expectFailure(HttpEngineClient client, EngineRequest request) {
		return AdapterFixture.expectFailure(UpstreamException.class, client.run(request).collect().asList());
	}

	private static String text(List<EngineEvent> events) {
		List<String> tokens = new ArrayList<>();
		for (EngineEvent event : events) {
			if (event instanceof EngineEvent.Token token) {
				tokens.add(token.text());
			}
		}
		return String.join("", tokens);
	}

}
