package org.wigeonglade.gateway.http;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response whose end is the end of its connection and that counts as
 * complete although the request was not written whole or the connection did not end in
 * order.
 */
public class EarlyEndTests {

	private static final String UNDELIMITED = "HTTP/1.1 200 OK\r\n\r\nbody";

	private static final String DELIMITED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

	@DataProvider
	public Object[][] endings() {
		return Stream.of(Ending.values())
			.flatMap((ending) -> Stream.of(Written.values()).map((written) -> new Object[] { ending, written }))
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "endings")
	public void undelimitedResponseIsCompleteOnlyAfterAnOrderlyEnd(Ending ending, Written written) {
		Exchange exchange = new Exchange();
		try (Connection connection = new Connection(exchange)) {
			connection.writes.settle(written);
			connection.receive(UNDELIMITED);
			ending.apply(connection);
			connection.writes.settle(Written.LATER);
			boolean whole = written == Written.WHOLE && ending == Ending.ORDERLY;
			Assert.assertEquals(exchange.outcomes, List.of(whole ? "end" : "failed"));
			Assert.assertFalse(connection.channel.isOpen());
		}
	}

	@Test
	public void writeThatFailsAfterTheEndIsFoundOut() {
		Exchange exchange = new Exchange();
		try (Connection connection = new Connection(exchange)) {
			connection.receive(UNDELIMITED);
			connection.writes.settle(Written.FAILED);
			Ending.ORDERLY.apply(connection);
			Assert.assertEquals(exchange.outcomes, List.of("failed"));
		}
	}

	@Test(dataProvider = "writes")
	public void connectionWithAnUnwrittenRequestCarriesNoOther(Written written) {
		Exchange exchange = new Exchange();
		try (Connection connection = new Connection(exchange)) {
			connection.writes.settle(written);
			connection.receive(DELIMITED);
			connection.client.markIdle(0, 1_000);
			Assert.assertEquals(exchange.outcomes, List.of((written == Written.FAILED) ? "failed" : "end"));
			Assert.assertEquals(connection.client.isReusable(1), written == Written.WHOLE);
		}
	}

	@DataProvider
	public Object[][] writes() {
		return Stream.of(Written.values()).map((written) -> new Object[] { written }).toArray(Object[][]::new);
	}

	@Test
	public void interimResponsesAreSkippedUpToANumber() {
		for (int number : new int[] { 0, 1, 16, 17, 1_000 }) {
			Exchange exchange = new Exchange();
			try (Connection connection = new Connection(exchange)) {
				connection.writes.settle(Written.WHOLE);
				connection.receive("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(number) + DELIMITED);
				Assert.assertEquals(exchange.outcomes, List.of((number <= 16) ? "end" : "malformed"), number + "");
			}
		}
	}

	// Random parts of random responses, with the connection ended in each way.
	@Test
	public void onlyWholeResponsesEnd() {
		Random random = new Random(46);
		for (int round = 0; round < 3_000; round++) {
			boolean delimited = random.nextBoolean();
			String bytes = delimited ? DELIMITED : UNDELIMITED;
			int cut = random.nextInt(bytes.length() + 1);
			Written written = Written.values()[random.nextInt(Written.values().length)];
			Ending ending = Ending.values()[random.nextInt(Ending.values().length)];
			Exchange exchange = new Exchange();
			try (Connection connection = new Connection(exchange)) {
				connection.writes.settle(written);
				for (int from = 0; from < cut;) {
					int to = Math.min(cut, from + random.nextInt(1, 12));
					connection.receive(bytes.substring(from, to));
					from = to;
				}
				ending.apply(connection);
				connection.writes.settle(Written.LATER);
				boolean head = cut >= bytes.indexOf("\r\n\r\n") + 4;
				boolean whole = delimited ? cut == bytes.length() && written != Written.FAILED
						: head && written == Written.WHOLE && ending == Ending.ORDERLY;
				Assert.assertEquals(exchange.outcomes, List.of(whole ? "end" : "failed"),
						round + ": " + cut + " bytes of " + bytes + ", " + written + ", " + ending);
			}
		}
	}

	/**
	 * What becomes of the writes of a request.
	 */
	enum Written {

		WHOLE, PENDING, FAILED,

		/** They are settled, if at all, when the channel has been closed. */
		LATER

	}

	/**
	 * How a connection ends.
	 */
	enum Ending {

		/** The end of the stream is read. */
		ORDERLY,

		/** A read fails. */
		RESET,

		/** The channel is closed on this side, for example with its event loop. */
		CLOSED_HERE;

		// A channel that a failed write has closed reads no more.
		void apply(Connection connection) {
			if (!connection.channel.isOpen()) {
				return;
			}
			switch (this) {
				case ORDERLY ->
					connection.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
				case RESET -> connection.channel.pipeline().fireExceptionCaught(new IOException("reset"));
				case CLOSED_HERE -> {
					// Nothing was read before the close.
				}
			}
			connection.channel.close();
		}

	}

	/**
	 * A connection on a channel whose writes are settled by the test.
	 */
	private static final class Connection implements AutoCloseable {

		private final HeldWrites writes = new HeldWrites();

		private final EmbeddedChannel channel = new EmbeddedChannel(this.writes);

		private final ClientConnection client = ClientConnection.ofDirect(this.channel);

		Connection(Exchange exchange) {
			this.client.send(exchange);
		}

		void receive(String text) {
			if (this.channel.isOpen()) {
				this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
			}
		}

		@Override
		public void close() {
			this.channel.finishAndReleaseAll();
		}

	}

	/**
	 * Keeps the promises of writes.
	 */
	private static final class HeldWrites extends ChannelOutboundHandlerAdapter {

		private final List<ChannelPromise> promises = new ArrayList<>();

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			ReferenceCountUtil.release(message);
			this.promises.add(promise);
		}

		void settle(Written written) {
			switch (written) {
				case WHOLE -> this.promises.forEach(ChannelPromise::trySuccess);
				case FAILED -> this.promises.forEach((promise) -> promise.tryFailure(new IOException("broken pipe")));
				case LATER -> this.promises.stream()
					.filter((promise) -> !promise.channel().isOpen())
					.forEach((promise) -> promise.tryFailure(new ClosedChannelException()));
				case PENDING -> {
					// They are not settled at all.
				}
			}
		}

	}

	/**
	 * Records the outcome of a request.
	 */
	private static final class Exchange implements ClientExchange {

		private final List<String> outcomes = new ArrayList<>();

		@Override
		public boolean matches(HttpResponse response) {
			return true;
		}

		@Override
		public void skipped(HttpResponse response) {
			throw new IllegalStateException("no response is skipped");
		}

		@Override
		public void head(HttpResponse response) {
			// The outcome is what counts.
		}

		@Override
		public void content(byte[] bytes) {
			// The outcome is what counts.
		}

		@Override
		public void end() {
			this.outcomes.add("end");
		}

		@Override
		public void failed(String reason) {
			this.outcomes.add("failed");
		}

		@Override
		public void malformed(String reason) {
			this.outcomes.add("malformed");
		}

		@Override
		public HttpRequest request() {
			return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
		}

		@Override
		public byte[] body() {
			return new byte[100];
		}

	}

}
