package org.wigeonglade.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.route.CallerLimits;

/**
 * Guards against a host that is killed because it buffers more for slow callers than its
 * memory holds, against slots that slow callers keep, and against normal callers that
 * lose their responses because of slow ones.
 */
public class SlowReaderTests {

	private static final int READERS = 2_000;

	private static final int PART_BYTES = 16 * 1024;

	private static final long RESPONSE_LIMIT = 8 << 20;

	private final BufferBudget budget = new BufferBudget(20 << 20, RESPONSE_LIMIT);

	private final List<CallerExchange> exchanges = new ArrayList<>();

	private long nowMillis;

	private long mostBuffered;

	private int disconnected;

	private final CallerServer server = new CallerServer(null, new Ticker() {
		@Override
		public long nanos() {
			return SlowReaderTests.this.nowMillis * 1_000_000L;
		}

		@Override
		public long wallMillis() {
			return SlowReaderTests.this.nowMillis;
		}
	}, () -> CallerLimits.DEFAULTS, this::respond);

	@Test
	public void slowReadersTakeNoMoreThanTheBudgetAndLoseOnlyTheirOwnResponses() {
		this.server.setBudget(this.budget);
		EmbeddedChannel normal = open(true);
		normal.writeInbound(request("GET", 0));
		CallerExchange served = this.exchanges.get(0);
		for (int i = 0; i < READERS; i++) {
			this.nowMillis++;
			open(false).writeInbound(request("GET", 0));
			served.write(new byte[PART_BYTES]);
			normal.releaseOutbound();
		}
		Assert.assertTrue(this.mostBuffered <= RESPONSE_LIMIT + 2 * PART_BYTES, this.mostBuffered + " bytes");
		Assert.assertTrue(this.budget.getReadersCutOff() >= READERS - RESPONSE_LIMIT / PART_BYTES);
		Assert.assertEquals(this.disconnected, this.budget.getReadersCutOff());
		Assert.assertTrue(normal.isOpen());
		this.nowMillis += 2_900;
		this.server.cutOffSlowReaders();
		Assert.assertTrue(this.disconnected < READERS);
		this.nowMillis += 2_900;
		this.server.cutOffSlowReaders();
		Assert.assertEquals(this.disconnected, READERS);
		Assert.assertEquals(this.budget.getResponseBytes(), 0);
		Assert.assertTrue(served.complete());
		Assert.assertTrue(normal.isOpen());
		normal.finishAndReleaseAll();
	}

	@Test
	public void uploadsBeyondTheBudgetAreRefusedAtOnceAndSmallRequestsAreServed() {
		this.server.setBudget(this.budget);
		int before = this.exchanges.size();
		List<EmbeddedChannel> uploads = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			EmbeddedChannel channel = open(true);
			channel.writeInbound(request("POST", 4 << 20));
			uploads.add(channel);
		}
		ByteBuf refusal = uploads.get(5).readOutbound();
		Assert.assertTrue(refusal.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 503 "));
		refusal.release();
		Assert.assertTrue(uploads.subList(0, 5).stream().allMatch(EmbeddedChannel::isOpen));
		EmbeddedChannel small = open(true);
		small.writeInbound(request("GET", 0));
		Assert.assertEquals(this.exchanges.size(), before + 1);
		uploads.forEach(EmbeddedChannel::finishAndReleaseAll);
		Assert.assertEquals(this.budget.getUploadBytes(), 0);
		small.finishAndReleaseAll();
	}

	// A response without an end, of which parts are written while the caller takes them.
	private void respond(CallerExchange exchange) {
		this.exchanges.add(exchange);
		exchange.onDisconnect(() -> this.disconnected++);
		exchange.writeHead(200, new DefaultHttpHeaders());
		for (int i = 0; i < 16 && exchange.isWritable(); i++) {
			exchange.write(new byte[PART_BYTES]);
			this.mostBuffered = Math.max(this.mostBuffered, this.budget.getResponseBytes());
		}
	}

	private EmbeddedChannel open(boolean reading) {
		CallerConnection connection = new CallerConnection(this.server);
		EmbeddedChannel channel = reading ? new EmbeddedChannel() : new EmbeddedChannel() {
			@Override
			protected void doWrite(ChannelOutboundBuffer buffer) {
				// The caller takes nothing.
			}
		};
		channel.pipeline()
			.addLast(new StrictRequestDecoder(new HttpDecoderConfig()), new CallerResponseEncoder(connection),
					connection);
		connection.channelActive(channel.pipeline().context(connection));
		return channel;
	}

	private static ByteBuf request(String method, int length) {
		return Unpooled.copiedBuffer(method + " / HTTP/1.1\r\nHost: a\r\n"
				+ ((length > 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n", StandardCharsets.US_ASCII);
	}

}
