package org.wigeonglade.entry.caller;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.smallrye.mutiny.Multi;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.host.HostFixture;

/**
 * Guards against unbounded buffering for a client that does not read its response, and
 * against an engine stream that continues after the client has disconnected.
 */
public class SlowClientTests {

	private static final int TOKEN_COUNT = 1_000_000;

	@Test
	public void slowClientPausesEngineStreamAndDisconnectCancelsIt() throws Exception {
		AtomicInteger produced = new AtomicInteger();
		CountDownLatch cancelled = new CountDownLatch(1);
		String text = "x".repeat(1000);
		HostFixture fixture = new HostFixture().withEngine("runner-1",
				(request) -> Multi.createFrom()
					.range(0, TOKEN_COUNT)
					.onItem()
					.invoke(produced::set)
					.onCancellation()
					.invoke(cancelled::countDown)
					.map((i) -> new EngineEvent.Token(i, text)));
		EntryHost host = fixture.builder().build();
		host.start();
		try (Socket socket = open(host)) {
			int previous = -1;
			while (produced.get() != previous) {
				previous = produced.get();
				Assert.assertFalse(cancelled.await(1, TimeUnit.SECONDS), "cancelled while the client was connected");
			}
			Assert.assertTrue(previous < TOKEN_COUNT / 10, "the engine was asked for " + previous + " tokens");
			socket.close();
			Assert.assertTrue(cancelled.await(20, TimeUnit.SECONDS), "the stream was not cancelled at the engine");
		}
		finally {
			host.kill();
		}
	}

	private static Socket open(EntryHost host) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.getCallerPort());
		String body = "{\"model\":\"runo-1\",\"prompt\":\"Ruusu\",\"max_tokens\":9,\"stream\":true}";
		String head = "POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + HostFixture.KEY
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n";
		socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
		return socket;
	}

}
