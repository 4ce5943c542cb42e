package org.wigeonglade.peer;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import org.testng.Assert;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.schema.generated.peer.ConfigAnswer;
import org.wigeonglade.schema.generated.peer.ConfigFetch;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.settings.TlsSettings;

/**
 * Builds transports on loopback for tests.
 */
final class PeerFixture {

	static final Duration TIMEOUT = Duration.ofSeconds(20);

	private PeerFixture() {
	}

	static NettyPeerTransport open(String host, PeerOptions options, TlsSettings tls) {
		NettyPeerTransport transport = NettyPeerTransport.builder()
			.identity(new PeerIdentity(HostId.of(host), 7, FailureDomain.of("fi-a"), Region.of("fi")))
			.listenAddress("127.0.0.1:0")
			.options(options)
			.tls(tls)
			.build();
		transport.start();
		return transport;
	}

	static NettyPeerTransport open(String host) {
		return open(host, PeerOptions.defaults(), null);
	}

	static PeerFrame configFetch(long after) {
		return PeerFrame.newBuilder().setConfigFetch(ConfigFetch.newBuilder().setAfterVersion(after)).build();
	}

	static PeerFrame configAnswer() {
		return PeerFrame.newBuilder().setConfigAnswer(ConfigAnswer.getDefaultInstance()).build();
	}

	static void waitFor(BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < deadlineNanos, "the condition was not met in time");
			Thread.onSpinWait();
		}
	}

}
