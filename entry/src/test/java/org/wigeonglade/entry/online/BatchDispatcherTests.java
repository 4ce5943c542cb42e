package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.Vertx;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.host.HostFixture;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkResult;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Guards against batch work that keeps its slots when online requests arrive, loses the
 * tokens of preempted items, or hides crashes and revoked grants.
 */
public class BatchDispatcherTests {

	private static final int SLOTS = 8;

	private static final HostId OTHER = HostId.of("host-2");

	private final Map<String, MultiEmitter<? super EngineEvent>> open = new ConcurrentHashMap<>();

	private final Queue<EngineRequest> requests = new ConcurrentLinkedQueue<>();

	private final Queue<String> account = new ConcurrentLinkedQueue<>();

	private final Queue<Long> runNanos = new ConcurrentLinkedQueue<>();

	private volatile long cancelNanos;

	private volatile FleetView view;

	private Vertx vertx;

	private EventLoop batchLoop;

	private OnlineRuntime online;

	private Owner owner;

	@BeforeMethod
	public void start() throws Exception {
		this.open.clear();
		this.requests.clear();
		this.runNanos.clear();
		this.account.clear();
		this.vertx = Vertx.vertx();
		this.owner = new Owner();
		HostFixture fixture = new HostFixture().withEngine("runner-1", this::run);
		HostMember self = new HostMember(HostId.of("host-1"), 1, HostFixture.DOMAIN, HostFixture.REGION, "127.0.0.1:9",
				false, 0, 0);
		this.view = new FleetView(List.of(self), fixture.upstreams(), true);
		this.online = new OnlineRuntimeBuilder(loop(), HostId.of("host-1"))
			.withPlace(HostFixture.DOMAIN, HostFixture.REGION)
			.withFleet(() -> this.view)
			.withClients(fixture.clients())
			.withAccount((code, kind, id, cause, figures) -> {
				this.account.add(code + " " + kind + " " + id);
				return "";
			})
			.build();
		this.online.start();
		this.batchLoop = loop();
		new BatchDispatcher(this.batchLoop, Ticker.system(), this.online, this.owner).start();
		await(() -> this.open.size() == SLOTS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	@Test
	public void burstTakesSlotsAndPreemptedItemsResumeAtTheirToken() {
		this.open.values().forEach((stream) -> stream.emit(new EngineEvent.Token(0, "t0 ")));
		RunnerState runner = this.online.getRunners().find(UpstreamId.of("runner-1"));
		await(() -> runner.getBatch() == SLOTS);
		announce(runner, 5);
		await(() -> runner.getBatch() == SLOTS - 5);
		announce(runner, 0);
		await(() -> runner.getBatch() == SLOTS);
		await(() -> this.requests.size() >= SLOTS + 5);
		Assert.assertEquals(this.requests.stream().filter((r) -> r.resumeTokens().equals(List.of("t0 "))).count(), 5);
		Assert.assertEquals(this.account.stream().filter((event) -> event.startsWith("PREEMPTED item job/")).count(),
				5);
	}

	@Test
	public void completedItemsAreReportedOnceAndReplaced() {
		finishAll();
		await(() -> this.owner.outcomes(WorkStatus.WORK_COMPLETED) == SLOTS);
		await(() -> this.open.size() == SLOTS);
		Assert.assertTrue(this.owner.outcomes.get(0).getResult().toStringUtf8().contains("\"text\":\"t0 \""));
	}

	@Test
	public void crashIsReportedForEveryItemInFlight() {
		List.copyOf(this.open.values())
			.forEach((stream) -> stream.fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.UNKNOWN,
					true, "connection lost", null)));
		await(() -> this.owner.outcomes(WorkStatus.WORK_CRASHED) == SLOTS);
	}

	@Test
	public void slotOfAPreemptedStreamIsNotFilledBeforeTheEngineFreedIt() {
		RunnerState runner = this.online.getRunners().find(UpstreamId.of("runner-1"));
		announce(runner, 5);
		await(() -> this.open.size() == SLOTS - 5);
		long cancelled = this.cancelNanos;
		announce(runner, 0);
		await(() -> this.requests.size() > SLOTS);
		long firstRefill = this.runNanos.stream().skip(SLOTS).findFirst().orElseThrow();
		// The dispatcher counts in whole milliseconds.
		long least = TimeUnit.MILLISECONDS.toNanos(RunnerDispatcher.SLOT_RELEASE_MILLIS - 1);
		Assert.assertTrue(firstRefill - cancelled >= least, "refilled after " + (firstRefill - cancelled) + " ns");
	}

	@Test
	public void itemsHeldForALeavingRunnerAreGivenBack() {
		RunnerState runner = this.online.getRunners().find(UpstreamId.of("runner-1"));
		announce(runner, 5);
		await(() -> this.open.size() == SLOTS - 5);
		int started = this.requests.size();
		this.view = new FleetView(this.view.hosts(), this.view.upstreams().stream().map((u) -> leaving(u)).toList(),
				true);
		await(() -> this.owner.outcomes(WorkStatus.WORK_RETURNED) >= 5);
		announce(runner, 0);
		finishAll();
		await(() -> this.owner.outcomes(WorkStatus.WORK_COMPLETED) == SLOTS - 5);
		Assert.assertEquals(this.requests.size(), started, "a leaving runner got new work");
	}

	@Test
	public void itemThatCannotBeParsedIsReportedAsNotRun() {
		this.owner.maxTokens = 0;
		finishAll();
		await(() -> this.owner.outcomes(WorkStatus.WORK_FAILED) >= 1);
		WorkOutcome failed = this.owner.firstFailed();
		Assert.assertTrue(failed.getNotRun());
		Assert.assertEquals(failed.getErrorCode(), ErrorCode.REQUEST_INVALID.getCode());
		String id = "job." + failed.getIndex() + ".";
		Assert.assertTrue(this.requests.stream().noneMatch((request) -> request.requestId().value().startsWith(id)),
				"an engine saw an item that is reported as not run");
	}

	@Test
	public void revokedGrantsAreStopped() {
		RunnerState runner = this.online.getRunners().find(UpstreamId.of("runner-1"));
		this.owner.exhausted = true;
		this.owner.revoked.add(1L);
		this.owner.revoked.add(2L);
		await(() -> !this.open.containsKey("job.1") && !this.open.containsKey("job.2"));
		Assert.assertTrue(runner.getBatch() <= SLOTS);
		Assert.assertEquals(this.owner.outcomes.size(), 0);
	}

	private static UpstreamMember leaving(UpstreamMember member) {
		return new UpstreamMember(member.id(), member.incarnation(), member.service(), member.domain(), member.region(),
				member.address(), member.runner(), member.models(), true);
	}

	// Takes effect after the tokens that were emitted before, which pass the same loop.
	private void announce(RunnerState runner, int count) {
		this.batchLoop.execute(() -> runner.setOthersOnline(OTHER, count, Ticker.system().millis()));
	}

	private void finishAll() {
		List.copyOf(this.open.values()).forEach((stream) -> {
			stream.emit(new EngineEvent.Token(0, "t0 "));
			stream.emit(new EngineEvent.End("stop", 1, 1));
			stream.complete();
		});
	}

	private Multi<EngineEvent> run(EngineRequest request) {
		this.requests.add(request);
		this.runNanos.add(System.nanoTime());
		String id = request.requestId().value();
		String item = id.substring(0, id.indexOf('.', id.indexOf('.') + 1));
		return Multi.createFrom().emitter((emitter) -> {
			this.open.put(item, emitter);
			emitter.onTermination(() -> {
				this.cancelNanos = System.nanoTime();
				this.open.remove(item, emitter);
			});
		});
	}

	private EventLoop loop() throws Exception {
		return EventLoop.create(this.vertx).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private static void await(BooleanSupplier condition) {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < limit, "the condition was not met in time");
			Thread.onSpinWait();
		}
	}

	private static final class Owner implements WorkSource {

		private final List<WorkOutcome> outcomes = new ArrayList<>();

		private final List<Long> revoked = new ArrayList<>();

		private volatile boolean exhausted;

		private volatile int maxTokens = 4;

		private int next;

		@Override
		public synchronized Uni<WorkGrant> request(WorkRequest request) {
			WorkGrant.Builder grant = WorkGrant.newBuilder();
			for (int i = 0; i < request.getMaxItems() && !this.exhausted; i++) {
				this.next++;
				grant.addItems(WorkItem.newBuilder()
					.setBatchId("job")
					.setIndex(this.next)
					.setGrantId(this.next)
					.setIdempotent(true)
					.setBody(ByteString.copyFromUtf8("{\"model\":\"runo-1\",\"prompt\":\"row " + this.next
							+ "\",\"max_tokens\":" + this.maxTokens + "}")));
			}
			return Uni.createFrom().item(grant.build());
		}

		@Override
		public synchronized Uni<WorkAck> report(WorkResult result) {
			this.outcomes.addAll(result.getOutcomesList());
			WorkAck.Builder ack = WorkAck.newBuilder().addAllRevokedGrants(this.revoked);
			result.getOutcomesList().forEach((outcome) -> ack.addAcceptedGrants(outcome.getGrantId()));
			return Uni.createFrom().item(ack.build());
		}

		@Override
		public boolean hasPending(String service) {
			return !this.exhausted;
		}

		private synchronized WorkOutcome firstFailed() {
			return this.outcomes.stream()
				.filter((outcome) -> outcome.getStatus() == WorkStatus.WORK_FAILED)
				.findFirst()
				.orElseThrow();
		}

		private synchronized long outcomes(WorkStatus status) {
			return this.outcomes.stream().filter((outcome) -> outcome.getStatus() == status).count();
		}

	}

}
