package org.wigeonglade.entry.host;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * Guards against requests that a host begins during its planned stop although they cannot
 * be complete before its end, and that it then cuts without a response.
 */
public class PlannedStopTests {

	private static final String COMPLETION = "{\"model\":\"runo-1\",\"prompt\":\"Talvi\",\"max_tokens\":3,\"stream\":%s}";

	private final AtomicInteger runs = new AtomicInteger();

	private final Queue<Duration> timeouts = new ConcurrentLinkedQueue<>();

	private long runMillis;

	private EntryHost host;

	@BeforeMethod
	public void reset() {
		this.runs.set(0);
		this.timeouts.clear();
	}

	@AfterMethod(alwaysRun = true)
	public void killHost() {
		if (this.host != null) {
			this.host.kill();
		}
	}

	@DataProvider
	public Object[][] requests() {
		return new Object[][] { { "/v1/completions", COMPLETION.formatted("false") },
				{ "/v1/completions", COMPLETION.formatted("true") }, { "/services/korttipalvelu/lataa", "body" } };
	}

	@Test(dataProvider = "requests")
	public void requestWhoseBodyArrivesTooLateIsRefused(String path, String body) throws Exception {
		startHost(0, 1_500, 20_000, 1_000);
		try (Socket caller = connect()) {
			send(caller, head(path, body.length()));
			awaitInProgress(1);
			CompletableFuture<Integer> stop = CompletableFuture.supplyAsync(this.host::stop);
			TimeUnit.MILLISECONDS.sleep(800);
			send(caller, body);
			String response = readAll(caller);
			Assert.assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("WG-4008"), response);
			Assert.assertTrue(response.contains("\"ran\":\"not_run\""), response);
			Assert.assertEquals(stop.get(10, TimeUnit.SECONDS), 0);
			Assert.assertEquals(this.runs.get(), 0);
		}
	}

	@Test(dataProvider = "requests")
	public void requestWhoseBodyArrivesLateIsServedIfItsLimitFits(String path, String body) throws Exception {
		startHost(0, 3_000, 1_500, 300);
		try (Socket caller = connect()) {
			send(caller, head(path, body.length()));
			awaitInProgress(1);
			CompletableFuture<Integer> stop = CompletableFuture.supplyAsync(this.host::stop);
			TimeUnit.MILLISECONDS.sleep(500);
			send(caller, body);
			String response = readAll(caller);
			Assert.assertTrue(response.startsWith("HTTP/1.1 200 "), response);
			Assert.assertEquals(stop.get(10, TimeUnit.SECONDS), 0);
		}
	}

	@Test(dataProvider = "requests")
	public void requestOfTheDelayIsAnsweredBeforeTheEnd(String path, String body) throws Exception {
		startHost(500, 700, 20_000, 10_000);
		CompletableFuture<Integer> stop = CompletableFuture.supplyAsync(this.host::stop);
		TimeUnit.MILLISECONDS.sleep(200);
		try (Socket caller = connect()) {
			send(caller, head(path, body.length()) + body);
			assertInterrupted(readAll(caller));
			Assert.assertEquals(stop.get(10, TimeUnit.SECONDS), 1);
		}
	}

	@Test(dataProvider = "requests")
	public void requestInProgressAtTheStopIsAnsweredBeforeTheEnd(String path, String body) throws Exception {
		startHost(0, 1_000, 20_000, 10_000);
		try (Socket caller = connect()) {
			send(caller, head(path, body.length()) + body);
			awaitRuns(1);
			CompletableFuture<Integer> stop = CompletableFuture.supplyAsync(this.host::stop);
			assertInterrupted(readAll(caller));
			Assert.assertEquals(stop.get(10, TimeUnit.SECONDS), 1);
		}
	}

	// The drain limit of a host is chosen by the longest request.
	@Test
	public void attemptsOfACallShareItsLimit() throws Exception {
		startHost(0, 1_000, 5_000, 600);
		try (Socket caller = connect()) {
			send(caller, head("/services/korttipalvelu/kaatuu", 1) + "x");
			Assert.assertTrue(readAll(caller).startsWith("HTTP/1.1 50"));
		}
		List<Duration> given = List.copyOf(this.timeouts);
		Assert.assertEquals(given.size(), 2, given.toString());
		Assert.assertTrue(given.get(1).toMillis() <= 4_400, given.toString());
	}

	private void startHost(int balancerDelayMillis, int drainLimitMillis, int deadlineMillis, long durationMillis) {
		this.runMillis = durationMillis;
		HostSettings settings = HostFixture.settings()
			.withTiming(
					new TimingSettings().withBalancerDelayMs(balancerDelayMillis).withDrainLimitMs(drainLimitMillis));
		FleetConfiguration configuration = HostFixture.configuration();
		configuration.getProfiles().forEach((profile) -> profile.withDeadlineMs(deadlineMillis).setMaxAttempts(2));
		HostFixture fixture = new HostFixture().withEngine("runner-1", this::generate)
			.withService("korttipalvelu", "kortti-1", this::reply)
			.withService("korttipalvelu", "kortti-2", this::reply);
		this.host = fixture.builder(settings).withInitialConfiguration(configuration).build();
		this.host.start();
	}

	private Multi<EngineEvent> generate(EngineRequest request) {
		this.runs.incrementAndGet();
		Multi<EngineEvent> first = Multi.createFrom().item(new EngineEvent.Token(0, "a "));
		Multi<EngineEvent> rest = Multi.createFrom()
			.items(new EngineEvent.Token(1, "b "), new EngineEvent.End("stop", 1, 2));
		Uni<Void> pause = Uni.createFrom().voidItem().onItem().delayIt().by(Duration.ofMillis(this.runMillis));
		return Multi.createBy().concatenating().streams(first, pause.onItem().transformToMulti((ignored) -> rest));
	}

	// A client of a service fails a call that has no reply at its time-out.
	private Uni<ServiceReply> reply(ServiceCall call) {
		this.runs.incrementAndGet();
		this.timeouts.add(call.timeout());
		boolean fails = call.path().equals("/kaatuu");
		Duration duration = Duration.ofMillis(this.runMillis);
		if (fails || duration.compareTo(call.timeout()) > 0) {
			ErrorCode code = (duration.compareTo(call.timeout()) > 0) ? ErrorCode.DEADLINE_EXCEEDED
					: ErrorCode.UPSTREAM_FAILED;
			Duration time = (duration.compareTo(call.timeout()) > 0) ? call.timeout() : duration;
			return Uni.createFrom()
				.<ServiceReply>nothing()
				.ifNoItem()
				.after(time)
				.failWith(() -> new UpstreamException(code, ExecutionState.UNKNOWN, false, "no reply", null));
		}
		return Uni.createFrom()
			.item(new ServiceReply(200, Map.of(), "done".getBytes(StandardCharsets.US_ASCII)))
			.onItem()
			.delayIt()
			.by(duration);
	}

	private void awaitInProgress(int count) throws InterruptedException {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.host.getInProgress() != count) {
			Assert.assertTrue(System.nanoTime() < limit, this.host.getInProgress() + " requests in progress");
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	private void awaitRuns(int count) throws InterruptedException {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.runs.get() != count) {
			Assert.assertTrue(System.nanoTime() < limit, this.runs.get() + " runs");
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	// It may have run, so that it is no refusal.
	private static void assertInterrupted(String response) {
		Assert.assertTrue(response.contains("WG-4003"), response);
		Assert.assertTrue(response.contains("\"ran\":\"unknown\"") || response.contains("\"ran\":\"ran\""), response);
		Assert.assertTrue(response.startsWith("HTTP/1.1 504 ") || response.contains("event: error"), response);
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.host.getCallerPort());
		socket.setSoTimeout(10_000);
		return socket;
	}

	private static String head(String path, int length) {
		return "POST " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nAuthorization: Bearer "
				+ HostFixture.KEY + "\r\nContent-Length: " + length + "\r\n\r\n";
	}

	private static void send(Socket caller, String text) throws IOException {
		caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		caller.getOutputStream().flush();
	}

	private static String readAll(Socket caller) throws IOException {
		return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

}
