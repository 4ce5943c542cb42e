package org.wigeonglade.gateway.http;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.http.FieldLine;

/**
 * A connection to a server that carries one request at a time. A response to another
 * request is skipped. Bytes that are no response, or that arrive without a request in
 * progress, close the connection, since what follows them cannot be attributed. Confined
 * to its event loop.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Largest number of interim (1xx) responses to a request; a server sends one or two.
	 */
	private static final int MAX_INTERIM_HEADS = 16;

	/**
	 * Largest total size in bytes of responses to other requests that are skipped while a
	 * request is in progress.
	 */
	private static final int MAX_SKIPPED_BYTES = 1 << 20;

	/**
	 * Number of request ids after which a connection is replaced, so that they take
	 * little memory.
	 */
	private static final int MAX_CARRIED_IDS = 512;

	private static final AtomicLong LAST_NUMBER = new AtomicLong();

	private final Channel channel;

	private final boolean relayed;

	private final long number = LAST_NUMBER.incrementAndGet();

	private ClientExchange exchange;

	private int exchangeCount;

	private String answeredId;

	private Consumer<ResponseFault> faultListener = (fault) -> {
	};

	private boolean headReceived;

	private int interimHeads;

	private int skippedBytes;

	private boolean skipping;

	private boolean keepAlive = true;

	private boolean requestWritten = true;

	private boolean broken;

	private OptionalLong serverStartMillis = OptionalLong.empty();

	private BooleanSupplier reuseCondition = () -> true;

	private final Set<String> carriedIds = new HashSet<>();

	private String idField = "";

	private final ResponseParser parser = new ResponseParser(this::namesRequest);

	private long idleSinceMillis;

	private long idleLimitMillis;

	private ClientConnection(Channel channel, boolean relayed) {
		this.channel = channel;
		this.relayed = relayed;
	}

	/**
	 * Adds a connection to the pipeline of a channel to a server.
	 * @param channel the channel, not null
	 * @return the connection, never null
	 */
	static ClientConnection ofDirect(Channel channel) {
		return addTo(channel, false);
	}

	/**
	 * Adds a connection to the pipeline of a channel that another host connects to the
	 * server.
	 * @param channel the channel, whose pipeline takes off the framing, not null
	 * @return the connection, never null
	 */
	public static ClientConnection ofRelay(Channel channel) {
		return addTo(channel, true);
	}

	private static ClientConnection addTo(Channel channel, boolean relayed) {
		ClientConnection connection = new ClientConnection(channel, relayed);
		channel.pipeline().addLast(new HttpRequestEncoder(), connection);
		return connection;
	}

	/**
	 * Returns the number that names the connection in the log.
	 * @return the number, unique in the process
	 */
	public long getNumber() {
		return this.number;
	}

	/**
	 * Returns the number of requests that the connection has carried.
	 * @return the number, including a request in progress
	 */
	public int getExchangeCount() {
		return this.exchangeCount;
	}

	/**
	 * Sets the listener to bytes that are not the response to a request.
	 * @param listener called on the event loop before the exchange in progress fails, not
	 * null
	 */
	public void onFault(Consumer<ResponseFault> listener) {
		this.faultListener = listener;
	}

	/**
	 * Returns whether another host relays the connection.
	 * @return false for a direct connection
	 */
	public boolean isRelayed() {
		return this.relayed;
	}

	/**
	 * Sends a request.
	 * @param next the request and the listener to its response, not null
	 * @throws IllegalStateException if another request is in progress
	 */
	public void send(ClientExchange next) {
		if (this.exchange != null) {
			throw new IllegalStateException("a request is already in progress on the connection");
		}
		this.exchange = next;
		this.exchangeCount++;
		this.headReceived = false;
		this.interimHeads = 0;
		this.skippedBytes = 0;
		this.requestWritten = false;
		HttpRequest head = next.request();
		boolean bodiless = HttpMethod.HEAD.equals(head.method());
		this.parser.setBodiless(bodiless);
		if (bodiless) {
			// A late copy of its response could not be told from one with a body.
			this.keepAlive = false;
		}
		byte[] body = next.body();
		this.channel.write(head);
		if (body.length > 0) {
			this.channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(body)));
		}
		this.channel.writeAndFlush(new DefaultLastHttpContent()).addListener((future) -> {
			if (future.isSuccess()) {
				this.requestWritten = true;
			}
			else {
				fail("the request could not be written: " + FailureText.of(future.cause()));
			}
		});
	}

	/**
	 * Closes the connection. The exchange in progress, if any, is not notified.
	 */
	public void close() {
		this.exchange = null;
		this.channel.close();
	}

	/**
	 * Pauses or resumes reading, as backpressure from a receiver that is slower than the
	 * server.
	 * @param reading false to pause
	 */
	public void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	/**
	 * Records the id of a request that the connection carries. A server may repeat its
	 * response late, so a further request with the same id needs another connection: the
	 * id would not tell the copy from the response to that request.
	 * @param field the name of the field in which the server repeats the id, not null
	 * @param id the id, not null
	 */
	public void recordCarried(String field, String id) {
		this.idField = field;
		this.carriedIds.add(id);
	}

	/**
	 * Returns whether the connection has carried a request with an id.
	 * @param id the id, not null
	 * @return true if a response with that id proves nothing any more
	 */
	public boolean hasCarried(String id) {
		return this.carriedIds.contains(id);
	}

	/**
	 * Records the start of the process at the other end, which the connection does not
	 * outlive.
	 * @param millis the start in milliseconds since the epoch
	 */
	public void setServerStart(long millis) {
		this.serverStartMillis = OptionalLong.of(millis);
	}

	/**
	 * Returns the start of the process at the other end.
	 * @return the start in milliseconds since the epoch, empty if it was not recorded
	 */
	public OptionalLong getServerStart() {
		return this.serverStartMillis;
	}

	/**
	 * Returns whether a request may be sent now.
	 * @return false if the connection is closed, the server will close it, or the last
	 * request is not written whole
	 */
	public boolean isOpen() {
		return this.keepAlive && this.requestWritten && !this.broken && this.channel.isActive();
	}

	/**
	 * Sets a condition under which the connection may be used for a further request.
	 * @param condition the condition, not null
	 */
	public void setReuseCondition(BooleanSupplier condition) {
		this.reuseCondition = condition;
	}

	/**
	 * Returns whether the connection may be used for a further request.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if it is open, idle, and within its idle limit
	 */
	public boolean isReusable(long nowMillis) {
		return this.exchange == null && isOpen() && this.carriedIds.size() < MAX_CARRIED_IDS
				&& nowMillis - this.idleSinceMillis < this.idleLimitMillis && this.reuseCondition.getAsBoolean();
	}

	/**
	 * Marks the connection as idle.
	 * @param nowMillis the monotonic time in milliseconds
	 * @param limitMillis how long the connection may stay idle, in milliseconds
	 */
	public void markIdle(long nowMillis, long limitMillis) {
		this.idleSinceMillis = nowMillis;
		this.idleLimitMillis = limitMillis;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		try {
			if (this.exchange == null) {
				malformed(unrequested(bytes));
			}
			else {
				readParts(bytes);
			}
		}
		finally {
			bytes.release();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.exchange != null) {
			finish(this.parser.settle());
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == ChannelInputShutdownEvent.INSTANCE) {
			end(this.requestWritten ? ConnectionEnd.AFTER_REQUEST : ConnectionEnd.WITHIN_REQUEST);
		}
	}

	// Comes after the end of the input, or without one.
	@Override
	public void channelInactive(ChannelHandlerContext context) {
		end(ConnectionEnd.ABORTED);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail("the connection failed: " + FailureText.of(cause));
	}

	// A listener may close the connection, or send the next request on it.
	private void readParts(ByteBuf bytes) {
		ClientExchange current = this.exchange;
		while (this.exchange == current) {
			switch (this.parser.next(bytes)) {
				case ResponsePart.Incomplete incomplete -> {
					return;
				}
				case ResponsePart.Head head -> readHead(head.response(), head.lengthUnknown());
				case ResponsePart.Body body -> readBody(body.bytes());
				case ResponsePart.End end -> readEnd(bytes);
				case ResponsePart.Malformed part -> malformed(part);
			}
		}
	}

	private void end(ConnectionEnd end) {
		if (this.exchange != null) {
			finish(this.parser.close(end));
		}
		fail(end.getDescription() + " " + this.parser.getPosition());
	}

	private void finish(ResponsePart part) {
		if (part instanceof ResponsePart.End) {
			readEnd(Unpooled.EMPTY_BUFFER);
		}
		else if (part instanceof ResponsePart.Malformed malformed) {
			malformed(malformed);
		}
	}

	private boolean namesRequest(FieldLine field) {
		return field.isNamed(this.idField) && this.carriedIds.contains(field.value());
	}

	private void readHead(HttpResponse response, boolean lengthUnknown) {
		if (response.status().code() / 100 == 1) {
			if (++this.interimHeads > MAX_INTERIM_HEADS) {
				exceeded("more than " + MAX_INTERIM_HEADS + " interim responses were received");
			}
			return;
		}
		Optional<String> fault = this.exchange.findFault(response);
		if (fault.isPresent()) {
			malformed(new ResponsePart.Malformed(ResponseFault.Kind.HEAD, fault.get(), ""));
			return;
		}
		this.skipping = !this.exchange.matches(response);
		if (this.skipping) {
			this.parser.skip();
			this.exchange.skipped(response);
			if (lengthUnknown) {
				malformed(new ResponsePart.Malformed(ResponseFault.Kind.BODY,
						"a response to another request ends only with the connection", ""));
			}
			return;
		}
		this.headReceived = true;
		if (lengthUnknown || !HttpUtil.isKeepAlive(response)
				|| response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
			this.keepAlive = false;
		}
		this.exchange.head(response);
	}

	private void readBody(byte[] bytes) {
		if (!this.skipping) {
			this.exchange.content(bytes);
			return;
		}
		this.skippedBytes += bytes.length;
		if (this.skippedBytes > MAX_SKIPPED_BYTES) {
			exceeded("a response to another request is larger than " + MAX_SKIPPED_BYTES + " bytes");
		}
	}

	// Bytes behind the response arrived before the next request was sent and belong to
	// none.
	private void readEnd(ByteBuf following) {
		if (this.skipping) {
			this.skipping = false;
			return;
		}
		ClientExchange done = this.exchange;
		this.exchange = null;
		this.answeredId = done.requestId().orElse(this.answeredId);
		if (following.isReadable()) {
			malformed(unrequested(following));
		}
		else if (!this.keepAlive || !this.requestWritten) {
			this.channel.close();
		}
		done.end();
	}

	private static ResponsePart.Malformed unrequested(ByteBuf bytes) {
		return new ResponsePart.Malformed(ResponseFault.Kind.UNREQUESTED,
				bytes.readableBytes() + " bytes were received without a request in progress",
				ByteExcerpt.of(ByteBufUtil.getBytes(bytes)));
	}

	private void exceeded(String reason) {
		malformed(new ResponsePart.Malformed(ResponseFault.Kind.LIMIT, reason, ""));
	}

	// Reports the fault before the exchange fails. Bytes that arrive after the connection
	// was closed are no fault of the server.
	private void malformed(ResponsePart.Malformed part) {
		if (!this.broken && this.channel.isOpen()) {
			Optional<String> requestId = (this.exchange != null) ? this.exchange.requestId() : Optional.empty();
			this.faultListener.accept(new ResponseFault(part.kind(), part.reason(), requestId,
					Optional.ofNullable(this.answeredId), this.exchange != null && this.headReceived, part.excerpt()));
		}
		ClientExchange failed = breakOff();
		if (failed != null) {
			failed.malformed(part.reason());
		}
	}

	private void fail(String reason) {
		ClientExchange failed = breakOff();
		if (failed != null) {
			failed.failed(reason);
		}
	}

	private ClientExchange breakOff() {
		this.broken = true;
		ClientExchange failed = this.exchange;
		this.exchange = null;
		this.channel.close();
		return failed;
	}

}
