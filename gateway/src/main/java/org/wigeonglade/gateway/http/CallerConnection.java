package org.wigeonglade.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A connection from a caller. Each request is received completely before it is handled;
 * pipelined requests are handled one after the other. Confined to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Limit of pipelined requests that wait behind the one in progress. A further request
	 * closes the connection.
	 */
	private static final int MAX_PIPELINED = 16;

	private final CallerServer server;

	private final Deque<CallerExchange> pipelined = new ArrayDeque<>();

	private Channel channel;

	private ChannelHandlerContext encoder;

	private CallerExchange current;

	private HttpRequest head;

	private ByteArrayOutputStream body;

	private boolean refused;

	private boolean closing;

	private final ReaderProgress progress = new ReaderProgress();

	private long reservedUpload;

	private long idleSinceMillis;

	private ScheduledFuture<?> timer;

	CallerConnection(CallerServer server) {
		this.server = server;
	}

	void setEncoder(ChannelHandlerContext context) {
		this.encoder = context;
	}

	Channel getChannel() {
		return this.channel;
	}

	Optional<CallerExchange> getCurrent() {
		return Optional.ofNullable(this.current);
	}

	boolean isClosingAfter(HttpRequest request) {
		// Requests that were received before this response are answered, too.
		return !HttpUtil.isKeepAlive(request) || (this.server.isDraining() && this.pipelined.isEmpty());
	}

	boolean isResponseBodiless() {
		HttpRequest request = (this.current != null) ? this.current.getRequest() : this.head;
		return request != null && HttpMethod.HEAD.equals(request.method());
	}

	// A partly received request counts as in progress, and so does a response that is
	// complete but may not be written yet.
	boolean isIdle() {
		return this.current == null && this.head == null && this.pipelined.isEmpty() && !this.closing;
	}

	// When the connection was opened, or its last response was complete.
	long getIdleSinceMillis() {
		return this.idleSinceMillis;
	}

	ReaderProgress getProgress() {
		return this.progress;
	}

	// Returns the bytes that wait for the caller.
	long updateProgress() {
		if (!this.channel.isOpen()) {
			return 0;
		}
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		boolean empty = buffer == null || buffer.isEmpty();
		this.server.getBudget()
			.adjustResponses(this.progress.update(empty ? null : buffer.current(), empty ? 0 : buffer.currentProgress(),
					(buffer != null) ? buffer.totalPendingWriteBytes() : 0, this.server.nowMillis()));
		return this.progress.getPendingBytes();
	}

	// The bytes are released when the channel has closed, but do not count any more.
	void cutOff() {
		this.server.getBudget().countCutOff();
		this.server.getBudget().adjustResponses(this.progress.update(null, 0, 0, this.server.nowMillis()));
		this.channel.close();
	}

	// Writes bytes that need no encoder.
	void writeEncoded(ByteBuf bytes) {
		this.encoder.writeAndFlush(bytes);
	}

	// Called after each write of a part of a response.
	void written() {
		if (updateProgress() > 0 && this.server.getBudget().isExceeded()) {
			this.server.cutOffSlowReaders();
		}
	}

	private boolean tryReserveUpload(long bytes) {
		if (bytes <= Math.max(BufferBudget.SMALL_UPLOAD_BYTES, this.reservedUpload)) {
			return true;
		}
		boolean reserved = this.server.getBudget().tryReserveUpload(bytes - this.reservedUpload);
		if (reserved) {
			this.reservedUpload = bytes;
		}
		return reserved;
	}

	private void releaseUpload() {
		this.server.getBudget().releaseUpload(this.reservedUpload);
		this.reservedUpload = 0;
	}

	void close() {
		this.channel.close();
	}

	void abort() {
		this.pipelined.clear();
		this.current = null;
		this.channel.close();
	}

	void exchangeEnded(boolean closing) {
		this.current = null;
		if (this.head == null && this.pipelined.isEmpty()) {
			releaseUpload();
		}
		if (closing) {
			this.closing = true;
			this.pipelined.clear();
			return;
		}
		CallerExchange next = this.pipelined.poll();
		if (next != null) {
			start(next);
		}
		else {
			startIdleTimer();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.server.add(this);
		startIdleTimer();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		stopTimer();
		this.server.remove(this);
		this.server.getBudget().adjustResponses(-this.progress.getPendingBytes());
		releaseUpload();
		CallerExchange interrupted = this.current;
		this.current = null;
		this.pipelined.clear();
		if (interrupted != null) {
			interrupted.notifyDisconnected();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		updateProgress();
		if (this.current != null && this.channel.isWritable()) {
			this.current.notifyWritable();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			HttpObject object = (HttpObject) message;
			// A request that is read behind the last response gets none.
			if (this.refused || this.closing) {
				return;
			}
			if (object.decoderResult().isFailure()) {
				Throwable cause = object.decoderResult().cause();
				refuse((cause instanceof TooLongFrameException) ? 431 : 400, "the request cannot be decoded");
				return;
			}
			if (object instanceof HttpRequest request) {
				readHead(request);
			}
			if (!this.refused && object instanceof HttpContent content) {
				readContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void readHead(HttpRequest request) {
		this.head = request;
		this.body = new ByteArrayOutputStream(0);
		startTimer(this.server.getLimits().headerTimeout().toMillis(), () -> refuse(408, "the request is incomplete"));
		if (HttpUtil.getContentLength(request, 0L) > this.server.getLimits().maxBodyBytes()) {
			refuse(413, "the body is too large");
			return;
		}
		if (!tryReserveUpload(HttpUtil.getContentLength(request, 0L))) {
			refuse(503, "the host has no memory for the body");
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void readContent(HttpContent content) {
		if (this.head == null) {
			return;
		}
		if (content.content().isReadable()) {
			byte[] bytes = ByteBufUtil.getBytes(content.content());
			this.body.write(bytes, 0, bytes.length);
			if (this.body.size() > this.server.getLimits().maxBodyBytes()) {
				refuse(413, "the body is too large");
				return;
			}
			if (!tryReserveUpload(this.body.size())) {
				refuse(503, "the host has no memory for the body");
				return;
			}
		}
		if (content instanceof LastHttpContent) {
			CallerExchange exchange = new CallerExchange(this, this.head, this.body.toByteArray(),
					this.server.nowMillis());
			this.head = null;
			this.body = null;
			stopTimer();
			enqueue(exchange);
		}
	}

	// All requests of a read are known before the first one starts, since its response
	// may be sent at once and must not end the connection before theirs.
	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.current == null && !this.refused && !this.pipelined.isEmpty()) {
			start(this.pipelined.poll());
		}
		context.fireChannelReadComplete();
	}

	private void enqueue(CallerExchange exchange) {
		if (this.pipelined.size() < MAX_PIPELINED || (this.current == null && this.pipelined.size() == MAX_PIPELINED)) {
			this.pipelined.add(exchange);
		}
		else {
			this.channel.close();
		}
	}

	private void start(CallerExchange exchange) {
		this.current = exchange;
		this.server.handle(exchange);
	}

	private void refuse(int status, String reason) {
		this.refused = true;
		stopTimer();
		if (this.current != null || !this.pipelined.isEmpty()) {
			this.channel.close();
			return;
		}
		byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(text));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private void startIdleTimer() {
		this.idleSinceMillis = this.server.nowMillis();
		startTimer(this.server.getLimits().idleTimeout().toMillis(), this::close);
	}

	private void startTimer(long millis, Runnable action) {
		stopTimer();
		this.timer = this.channel.eventLoop().schedule(action, millis, TimeUnit.MILLISECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

}
