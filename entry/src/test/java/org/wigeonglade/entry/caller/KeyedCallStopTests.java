package org.wigeonglade.entry.caller;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.batch.JobStatus;
import org.wigeonglade.entry.batch.JobSubmission;
import org.wigeonglade.entry.batch.JobUpload;
import org.wigeonglade.entry.batch.KeyedRequest;
import org.wigeonglade.entry.batch.KeyedRequestDecision;
import org.wigeonglade.entry.batch.KeyedResponse;
import org.wigeonglade.entry.host.HostFixture;
import org.wigeonglade.entry.online.EventLoop;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.entry.online.OnlineRuntimeBuilder;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.entry.operator.HostMetrics;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Guards against a stop that ends while a call with an idempotency key runs whose caller
 * has disconnected, so that its response is not stored and a resend is told that it is
 * not known whether the call ran.
 */
public class KeyedCallStopTests {

	/** The deadline of all profiles of the fixture. */
	private static final long DEADLINE_MILLIS = 20_000;

	private Vertx vertx;

	private CallerServer server;

	private CompletableFuture<KeyedRequestDecision> decision;

	private CompletableFuture<ServiceReply> reply;

	private CompletableFuture<ServiceCall> called;

	private CompletableFuture<Void> begun;

	private CompletableFuture<KeyedResponse> response;

	private CompletableFuture<Void> stored;

	@BeforeMethod
	public void startServer() throws Exception {
		this.decision = new CompletableFuture<>();
		this.reply = new CompletableFuture<>();
		this.called = new CompletableFuture<>();
		this.begun = new CompletableFuture<>();
		this.response = new CompletableFuture<>();
		this.stored = new CompletableFuture<>();
		this.vertx = Vertx.vertx();
		HostFixture fixture = new HostFixture().withService("studio-app", "studio-1", (call) -> {
			this.called.complete(call);
			return Uni.createFrom().completionStage(this.reply);
		});
		EventLoop loop = await(EventLoop.create(this.vertx));
		FleetView view = new FleetView(List.of(), fixture.upstreams(), true);
		OnlineRuntime online = new OnlineRuntimeBuilder(loop, HostId.of("host-1"))
			.withLocation(HostFixture.DOMAIN, HostFixture.REGION)
			.withFleet(() -> view)
			.withClients(fixture.clients())
			.build();
		online.start();
		HostSettings settings = HostFixture.settings();
		VersionedConfiguration configuration = new VersionedConfiguration(0, HostFixture.configuration());
		this.server = new CallerServer(this.vertx,
				new CallerContext(settings, Ticker.system(), () -> configuration, online, new HeldRuntime(),
						HostMetrics.create(), (code, subjectKind, subjectId, cause, figures) -> "",
						HopTracer.create(settings), () -> true));
		Promise<Void> opened = Promise.promise();
		loop.execute(() -> this.server.start().onComplete(opened));
		await(opened.future());
	}

	@AfterMethod(alwaysRun = true)
	public void stopServer() throws Exception {
		await(this.vertx.close());
	}

	@DataProvider
	public Object[][] moments() {
		return new Object[][] { { false }, { true } };
	}

	@Test(dataProvider = "moments")
	public void callOfADisconnectedCallerIsInProgressUntilItsResponseIsStored(boolean beforeTheCall) throws Exception {
		Socket caller = new Socket(InetAddress.getLoopbackAddress(), this.server.getPort());
		caller.getOutputStream()
			.write(("POST /services/studio-app/tulosta HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
					+ HostFixture.KEY + "\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
				.getBytes(StandardCharsets.US_ASCII));
		this.begun.get(10, TimeUnit.SECONDS);
		if (!beforeTheCall) {
			this.decision.complete(new KeyedRequestDecision.Run());
			this.called.get(10, TimeUnit.SECONDS);
		}
		caller.close();
		TimeUnit.MILLISECONDS.sleep(300);
		Assert.assertEquals(this.server.getRequestsInProgress(), 1);
		this.decision.complete(new KeyedRequestDecision.Run());
		this.called.get(10, TimeUnit.SECONDS);
		this.reply.complete(new ServiceReply(201, Map.of(), new byte[0]));
		Assert.assertEquals(this.response.get(10, TimeUnit.SECONDS).httpStatus(), 201);
		Assert.assertEquals(this.server.getRequestsInProgress(), 1);
		this.stored.complete(null);
		awaitInProgress((count) -> count == 0);
	}

	// A call is one request in progress while its caller waits, too.
	@Test
	public void callOfAConnectedCallerCountsOnce() throws Exception {
		try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), this.server.getPort())) {
			caller.getOutputStream()
				.write(("POST /services/studio-app/tulosta HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
						+ HostFixture.KEY + "\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
					.getBytes(StandardCharsets.US_ASCII));
			this.decision.complete(new KeyedRequestDecision.Run());
			this.called.get(10, TimeUnit.SECONDS);
			Assert.assertEquals(this.server.getRequestsInProgress(), 1);
			this.stored.complete(null);
			this.reply.complete(new ServiceReply(201, Map.of(), new byte[0]));
			awaitInProgress((count) -> count == 0);
		}
	}

	// The intent may be stored long after the request has arrived.
	@Test
	public void callIsGivenTheTimeThatIsLeftOnceItsIntentIsStored() throws Exception {
		try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), this.server.getPort())) {
			caller.getOutputStream()
				.write(("POST /services/studio-app/tulosta HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
						+ HostFixture.KEY + "\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
					.getBytes(StandardCharsets.US_ASCII));
			this.begun.get(10, TimeUnit.SECONDS);
			TimeUnit.MILLISECONDS.sleep(400);
			this.decision.complete(new KeyedRequestDecision.Run());
			Duration timeout = this.called.get(10, TimeUnit.SECONDS).timeout();
			Assert.assertTrue(timeout.toMillis() <= DEADLINE_MILLIS - 400, timeout.toString());
		}
	}

	private void awaitInProgress(IntPredicate expected) throws InterruptedException {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!expected.test(this.server.getRequestsInProgress())) {
			Assert.assertTrue(System.nanoTime() < limit, this.server.getRequestsInProgress() + " in progress");
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	/** A runtime whose decisions and appends wait for the test. */
	private final class HeldRuntime implements BatchRuntime {

		@Override
		public Uni<KeyedRequestDecision> beginKeyed(KeyedRequest request) {
			KeyedCallStopTests.this.begun.complete(null);
			return Uni.createFrom().completionStage(KeyedCallStopTests.this.decision);
		}

		@Override
		public Uni<Void> completeKeyed(KeyedRequest request, KeyedResponse result) {
			KeyedCallStopTests.this.response.complete(result);
			return Uni.createFrom().completionStage(KeyedCallStopTests.this.stored);
		}

		@Override
		public Uni<Void> start() {
			return Uni.createFrom().voidItem();
		}

		@Override
		public Uni<Void> stop() {
			return Uni.createFrom().voidItem();
		}

		@Override
		public void kill() {
			// Nothing runs.
		}

		@Override
		public JobUpload submit(JobSubmission submission) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Uni<JobStatus> status(WorkspaceId workspace, BatchId id) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Multi<byte[]> results(WorkspaceId workspace, BatchId id) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Uni<JobStatus> cancel(WorkspaceId workspace, BatchId id) {
			throw new UnsupportedOperationException();
		}

		@Override
		public WorkSource workSource() {
			throw new UnsupportedOperationException();
		}

		@Override
		public List<PartitionView> ownedPartitions() {
			return List.of();
		}

		@Override
		public void updatePartitionOwners(HostId host, List<PartitionView> partitions) {
			// There is one host.
		}

		@Override
		public long getAppends() {
			return 0;
		}

	}

}
