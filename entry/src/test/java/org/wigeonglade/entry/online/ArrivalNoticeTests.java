package org.wigeonglade.entry.online;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.entry.host.HostFixture;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Guards against a dispatcher that fills the last slots of a runner with batch items
 * because the notice of the first online request was delayed by the setup of a
 * connection, or was sent to a host that had been lost.
 */
public class ArrivalNoticeTests {

	private static final HostId SELF = HostId.of("host-0");

	private static final List<HostId> OTHERS = List.of(HostId.of("host-1"), HostId.of("host-2"));

	private final Queue<Notice> notices = new ConcurrentLinkedQueue<>();

	private volatile FleetView view;

	private Vertx vertx;

	private OnlineRuntime online;

	@BeforeMethod
	public void start() throws Exception {
		this.notices.clear();
		this.vertx = Vertx.vertx();
		HostFixture fixture = new HostFixture().withEngine("runner-1", HostFixture::answer);
		this.view = new FleetView(OTHERS.stream().map(ArrivalNoticeTests::member).toList(), fixture.upstreams(), true);
		EventLoop loop = EventLoop.create(this.vertx)
			.toCompletionStage()
			.toCompletableFuture()
			.get(10, TimeUnit.SECONDS);
		this.online = new OnlineRuntimeBuilder(loop, SELF).withLocation(HostFixture.DOMAIN, HostFixture.REGION)
			.withFleet(() -> this.view)
			.withClients(fixture.clients())
			.withPeers(new RecordingPeers())
			.build();
		this.online.start();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	@Test
	public void dispatcherReceivesACountBeforeTheFirstRequest() {
		awaitNotice(new Notice(dispatcher(), 0));
	}

	@Test
	public void newDispatcherReceivesTheCountInFlight() {
		HostId first = dispatcher();
		awaitNotice(new Notice(first, 0));
		this.online.getRunners().find(UpstreamId.of("runner-1")).beginOnline();
		this.view = new FleetView(this.view.hosts().stream().filter((host) -> !host.id().equals(first)).toList(),
				this.view.upstreams(), true);
		awaitNotice(new Notice(dispatcher(), 1));
	}

	private HostId dispatcher() {
		return Rendezvous.first("runner-1", this.view.hosts(), (host) -> host.id().value()).orElseThrow().id();
	}

	// The limit is below the interval of 1 s at which counts are repeated.
	private void awaitNotice(Notice expected) {
		long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(900);
		while (!this.notices.contains(expected)) {
			Assert.assertTrue(System.nanoTime() < limit, expected + " was not sent, only " + this.notices);
			Thread.onSpinWait();
		}
	}

	private static HostMember member(HostId id) {
		return new HostMember(id, 1, HostFixture.DOMAIN, HostFixture.REGION, "127.0.0.1:9", false, 0, 0);
	}

	private record Notice(HostId to, int count) {
	}

	private final class RecordingPeers implements PeerTransport {

		@Override
		public Uni<PeerFrame> request(HostId to, LinkPurpose purpose, PeerFrame frame, Duration timeout) {
			return Uni.createFrom().nothing();
		}

		@Override
		public void send(HostId to, LinkPurpose purpose, PeerFrame frame) {
			if (frame.hasOnlineArrival()) {
				ArrivalNoticeTests.this.notices.add(new Notice(to, frame.getOnlineArrival().getCount()));
			}
		}

		@Override
		public void handle(PeerFrame.BodyCase body, PeerHandler handler) {
			// The tests receive no frames.
		}

	}

}
