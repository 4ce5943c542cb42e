package org.wigeonglade.gateway.http;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.route.CallerLimits;

/**
 * Guards against a graceful shutdown that closes connections whose last response is not
 * written yet.
 */
public class ClosingConnectionTests {

	private static final int BODY_BYTES = 16 * 1024 * 1024;

	/** Longer than a connection without a request is kept. */
	private static final long PAUSE_MILLIS = 600;

	@Test
	public void responseToASlowCallerIsWrittenToItsEnd() throws Exception {
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		try {
			EventLoop loop = (EventLoop) group.next();
			CountDownLatch responded = new CountDownLatch(1);
			CallerServer server = new CallerServer(group, Ticker.system(), () -> CallerLimits.DEFAULTS, (call) -> {
				call.respond(200, List.of(), new byte[BODY_BYTES]);
				responded.countDown();
			});
			server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly();
			loop.submit(server::drain).syncUninterruptibly();
			try (Socket caller = new Socket()) {
				caller.setReceiveBufferSize(8 * 1024);
				caller.connect(server.getAddress());
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				caller.getOutputStream()
					.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				Assert.assertTrue(responded.await(10, TimeUnit.SECONDS));
				boolean idle = loop.submit(() -> {
					server.closeIdle();
					return server.isIdle();
				}).syncUninterruptibly().getNow();
				Assert.assertFalse(idle, "the process may end");
				Assert.assertTrue(countBytes(caller.getInputStream()) > BODY_BYTES);
			}
			long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
			while (!loop.submit(server::isIdle).syncUninterruptibly().getNow()) {
				Assert.assertTrue(System.nanoTime() < deadline, "the connection counts as busy after its response");
			}
			loop.submit(server::close).syncUninterruptibly();
		}
		finally {
			group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
		}
	}

	private static long countBytes(InputStream input) throws Exception {
		byte[] buffer = new byte[64 * 1024];
		long total = 0;
		for (int n = input.read(buffer); n >= 0; n = input.read(buffer)) {
			total += n;
		}
		return total;
	}

}
