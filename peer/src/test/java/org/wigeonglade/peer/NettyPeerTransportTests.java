package org.wigeonglade.peer;

import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.LongStream;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.peer.ConfigAnswer;
import org.wigeonglade.schema.generated.peer.LeavingNotice;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Guards against replies that complete the wrong request, requests that never complete,
 * malformed input or another protocol version that disturbs other connections, and links
 * that do not reconnect after a restart of the peer.
 */
public class NettyPeerTransportTests {

	private static final HostId A = HostId.of("a");

	private static final HostId B = HostId.of("b");

	private NettyPeerTransport a;

	private NettyPeerTransport b;

	@BeforeMethod
	void open() {
		this.a = PeerFixture.open("a");
		this.b = PeerFixture.open("b");
		this.a.setPeerAddress(B, this.b.getAddress());
		this.b.setPeerAddress(A, this.a.getAddress());
	}

	@AfterMethod(alwaysRun = true)
	void close() {
		this.a.close();
		this.b.close();
	}

	@Test
	void repliesOutOfOrderReachTheirRequests() {
		List<Long> received = new CopyOnWriteArrayList<>();
		this.b.handle(PeerFrame.BodyCase.CONFIG_FETCH, (from, frame) -> {
			long version = frame.getConfigFetch().getAfterVersion();
			received.add(version);
			Uni<PeerFrame> reply = Uni.createFrom().item(configAnswer(version));
			return (version % 2 == 0) ? reply.onItem().delayIt().by(Duration.ofMillis(50)) : reply;
		});
		List<Uni<PeerFrame>> requests = LongStream.range(0, 100)
			.mapToObj((i) -> this.a.request(B, LinkPurpose.CONTROL, PeerFixture.configFetch(i), PeerFixture.TIMEOUT))
			.toList();
		List<PeerFrame> replies = Uni.join().all(requests).andFailFast().await().atMost(PeerFixture.TIMEOUT);
		for (int i = 0; i < replies.size(); i++) {
			Assert.assertEquals(replies.get(i).getConfigAnswer().getChanges(0).getVersion(), i);
		}
		Assert.assertEquals(received.size(), 100);
		Assert.assertEquals(this.a.getPendingRequests(), 0);
	}

	@Test
	void requestWithoutReplyFailsAfterItsTimeout() {
		this.b.handle(PeerFrame.BodyCase.CONFIG_FETCH, (from, frame) -> Uni.createFrom().nothing());
		PeerException failure = Assert.expectThrows(PeerException.class,
				() -> requestConfig(B, Duration.ofMillis(100)));
		Assert.assertEquals(failure.getCode(), ErrorCode.PEER_UNREACHABLE);
		Assert.assertEquals(this.a.getPendingRequests(), 0);
	}

	@Test
	void failureOfAHandlerKeepsItsErrorCode() {
		this.b.handle(PeerFrame.BodyCase.CONFIG_FETCH, (from, frame) -> {
			throw new RefusedException(ErrorCode.STOPPING, "stopping", null);
		});
		PeerException failure = Assert.expectThrows(PeerException.class, () -> requestConfig(B, PeerFixture.TIMEOUT));
		Assert.assertEquals(failure.getCode(), ErrorCode.STOPPING);
	}

	@Test
	void requestToTheOwnHostIsDispatchedLocally() {
		this.a.handle(PeerFrame.BodyCase.CONFIG_FETCH, (from, frame) -> {
			Assert.assertEquals(from, A);
			return Uni.createFrom().item(PeerFixture.configAnswer());
		});
		Assert.assertTrue(requestConfig(A, PeerFixture.TIMEOUT).hasConfigAnswer());
	}

	@Test
	void unknownHostIsUnreachableAtOnce() {
		PeerException failure = Assert.expectThrows(PeerException.class,
				() -> requestConfig(HostId.of("c"), PeerFixture.TIMEOUT));
		Assert.assertEquals(failure.getCode(), ErrorCode.PEER_UNREACHABLE);
	}

	@Test
	void connectionToAnotherHostIsRejected() {
		this.a.setPeerAddress(HostId.of("c"), this.b.getAddress());
		Assert.assertThrows(PeerException.class, () -> requestConfig(HostId.of("c"), PeerFixture.TIMEOUT));
	}

	@Test
	void identifiesTheHostOfAnAddress() {
		Assert.assertEquals(this.a.identifyPeer(this.b.getAddress()).await().atMost(PeerFixture.TIMEOUT), B);
	}

	@Test
	void oversizedFrameIsRejectedBeforeItIsSent() {
		ConfigChange change = ConfigChange.newBuilder().setBody(ByteString.copyFrom(new byte[17 << 20])).build();
		PeerFrame frame = PeerFrame.newBuilder().setConfigAnswer(ConfigAnswer.newBuilder().addChanges(change)).build();
		WigeongladeException failure = Assert.expectThrows(WigeongladeException.class,
				() -> this.a.request(B, LinkPurpose.CONTROL, frame, PeerFixture.TIMEOUT)
					.await()
					.atMost(PeerFixture.TIMEOUT));
		Assert.assertEquals(failure.getCode(), ErrorCode.TOO_LARGE);
	}

	@Test
	void reconnectsAfterAPeerRestart() {
		serveConfigFetches(this.b);
		requestConfig(B, PeerFixture.TIMEOUT);
		String address = this.b.getAddress();
		this.b.close();
		PeerFixture.waitFor(() -> !canReach(B));
		this.b = NettyPeerTransport.builder()
			.identity(new PeerIdentity(B, 8, FailureDomain.of("fi-a"), Region.of("fi")))
			.listenAddress(address)
			.build();
		serveConfigFetches(this.b);
		this.b.start();
		PeerFixture.waitFor(() -> canReach(B));
	}

	@Test
	void unresponsivePeerIsDetectedByAKeepAliveProbe() throws Exception {
		PeerOptions options = PeerOptions.defaults().withKeepAlive(Duration.ofMillis(100));
		try (ServerSocket unresponsive = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
				NettyPeerTransport c = PeerFixture.open("c", options, null)) {
			c.setPeerAddress(B, "127.0.0.1:" + unresponsive.getLocalPort());
			PeerException failure = Assert.expectThrows(PeerException.class,
					() -> c.request(B, LinkPurpose.CONTROL, PeerFixture.configFetch(1), PeerFixture.TIMEOUT)
						.await()
						.atMost(PeerFixture.TIMEOUT));
			Assert.assertEquals(failure.getCode(), ErrorCode.PEER_UNREACHABLE);
		}
	}

	@Test
	void unknownFieldsArePreservedAndUnknownKindsAreRejected() {
		UnknownFieldSet unknown = UnknownFieldSet.newBuilder()
			.addField(900, UnknownFieldSet.Field.newBuilder().addVarint(5).build())
			.build();
		this.b.handle(PeerFrame.BodyCase.CONFIG_FETCH,
				(from, frame) -> Uni.createFrom()
					.item(PeerFrame.newBuilder()
						.setConfigAnswer(ConfigAnswer.newBuilder().setUnknownFields(frame.getUnknownFields()))
						.build()));
		PeerFrame newer = PeerFixture.configFetch(1).toBuilder().setUnknownFields(unknown).build();
		PeerFrame reply = this.a.request(B, LinkPurpose.CONTROL, newer, PeerFixture.TIMEOUT)
			.await()
			.atMost(PeerFixture.TIMEOUT);
		Assert.assertEquals(reply.getConfigAnswer().getUnknownFields(), unknown);
		PeerFrame unknownKind = PeerFrame.newBuilder().setUnknownFields(unknown).build();
		PeerException failure = Assert.expectThrows(PeerException.class,
				() -> this.a.request(B, LinkPurpose.CONTROL, unknownKind, PeerFixture.TIMEOUT)
					.await()
					.atMost(PeerFixture.TIMEOUT));
		Assert.assertEquals(failure.getCode(), ErrorCode.PEER_UNSUPPORTED);
		Assert.assertTrue(canReach(B));
	}

	@DataProvider
	Object[][] malformed() {
		byte[] notice = PeerFrame.newBuilder()
			.setLeavingNotice(LeavingNotice.newBuilder().setUpstream("x"))
			.build()
			.toByteArray();
		return new Object[][] { { new byte[] { 1, 2, 3, 4, 5, 6, 7, 8 } }, { new byte[] { 127, -1, -1, -1, 0 } },
				{ new byte[] { -1, -1, -1, -1, 0 } }, { "GET / HTTP/1.1\r\n\r\n".getBytes() },
				{ frame(new byte[] { -1, -1, -1 }) }, { frame(notice) }, { new byte[0] } };
	}

	@Test(dataProvider = "malformed")
	void malformedInputClosesTheConnectionOnly(byte[] input) throws Exception {
		serveConfigFetches(this.b);
		String[] address = this.b.getAddress().split(":");
		try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
			socket.setSoTimeout((int) PeerFixture.TIMEOUT.toMillis());
			DataOutputStream out = new DataOutputStream(socket.getOutputStream());
			out.write(input);
			out.flush();
			socket.getInputStream().readAllBytes();
		}
		Assert.assertTrue(requestConfig(B, PeerFixture.TIMEOUT).hasConfigAnswer());
	}

	@Test
	void framesToASlowReceiverAreDroppedInsteadOfBuffered() {
		PeerOptions small = PeerOptions.defaults().withWriteBufferBytes(64 << 10);
		try (NettyPeerTransport c = PeerFixture.open("c", small, null)) {
			c.setPeerAddress(B, this.b.getAddress());
			this.b.handle(PeerFrame.BodyCase.CONFIG_ANSWER, (from, frame) -> Uni.createFrom().nothing());
			ConfigChange change = ConfigChange.newBuilder().setBody(ByteString.copyFrom(new byte[16 << 10])).build();
			PeerFrame frame = PeerFrame.newBuilder()
				.setConfigAnswer(ConfigAnswer.newBuilder().addChanges(change))
				.build();
			for (int i = 0; i < 20_000 && c.getTraffic().getFramesDropped() == 0; i++) {
				c.send(B, LinkPurpose.BATCH, frame);
			}
			PeerFixture.waitFor(() -> c.getTraffic().getFramesDropped() > 0);
		}
	}

	private static byte[] frame(byte[] content) {
		byte[] encoded = new byte[content.length + 4];
		encoded[3] = (byte) content.length;
		System.arraycopy(content, 0, encoded, 4, content.length);
		return encoded;
	}

	private static PeerFrame configAnswer(long version) {
		return PeerFrame.newBuilder()
			.setConfigAnswer(ConfigAnswer.newBuilder().addChanges(ConfigChange.newBuilder().setVersion(version)))
			.build();
	}

	private static void serveConfigFetches(NettyPeerTransport transport) {
		transport.handle(PeerFrame.BodyCase.CONFIG_FETCH,
				(from, frame) -> Uni.createFrom().item(PeerFixture.configAnswer()));
	}

	private boolean canReach(HostId host) {
		try {
			return requestConfig(host, Duration.ofMillis(500)).hasConfigAnswer();
		}
		catch (PeerException ex) {
			return false;
		}
	}

	private PeerFrame requestConfig(HostId host, Duration timeout) {
		return this.a.request(host, LinkPurpose.CONTROL, PeerFixture.configFetch(1), timeout)
			.await()
			.atMost(PeerFixture.TIMEOUT.plusSeconds(5));
	}

}
