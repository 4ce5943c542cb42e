package org.wigeonglade.adapters.http;

import java.util.concurrent.ThreadLocalRandom;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Closes a connection that receives bytes which are not the response to its request. A
 * whole response is passed on even if such bytes follow it, unless they make it doubtful.
 * The HTTP decoder behind it is lenient: it reads the parts of two heads as one head and
 * keeps a part of a head that arrives on an idle connection.
 */
final class ResponseGuard extends ChannelInboundHandlerAdapter {

	/** Name that Vert.x gives to its HTTP codec. */
	private static final String CODEC = "codec";

	private final ResponseFraming framing = new ResponseFraming();

	/** Random, so that ids of different connections differ behind a proxy. */
	private final String idPrefix = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";

	private long requests;

	private boolean closed;

	/**
	 * The last bytes of a response, kept until all bytes that have arrived were read,
	 * since those behind it may make it doubtful. Null if there are none.
	 */
	private ByteBuf responseEnd;

	private ResponseGuard() {
	}

	/**
	 * Installs a guard in front of the HTTP codec of a connection, before its first
	 * request.
	 * @param pipeline the pipeline of the connection, with the codec
	 */
	static void install(ChannelPipeline pipeline) {
		ResponseGuard guard = new ResponseGuard();
		pipeline.addBefore(CODEC, "responseGuard", guard);
		pipeline.addAfter(CODEC, "requestMarker", guard.new RequestMarker());
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf in = (ByteBuf) message;
		try {
			if (!this.closed) {
				read(context, in);
			}
		}
		catch (MalformedResponseException ex) {
			this.closed = true;
			dropResponseEnd();
			context.fireExceptionCaught(ex);
			context.close();
		}
		finally {
			in.release();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		passResponseEnd(context);
		context.fireChannelReadComplete();
	}

	private void read(ChannelHandlerContext context, ByteBuf in) {
		if (this.responseEnd == null) {
			ByteBuf checked = this.framing.accept(in);
			if (!this.framing.isIdle()) {
				pass(context, checked);
				return;
			}
			this.responseEnd = checked;
		}
		if (in.isReadable()) {
			this.framing.checkFollowing(in);
			// The pool may reuse the connection once the response is passed on.
			this.closed = true;
			context.close();
			passResponseEnd(context);
		}
	}

	private void passResponseEnd(ChannelHandlerContext context) {
		if (this.responseEnd != null) {
			ByteBuf end = this.responseEnd;
			this.responseEnd = null;
			pass(context, end);
		}
	}

	private static void pass(ChannelHandlerContext context, ByteBuf checked) {
		if (checked.isReadable()) {
			context.fireChannelRead(checked);
		}
		else {
			checked.release();
		}
	}

	private void dropResponseEnd() {
		if (this.responseEnd != null) {
			this.responseEnd.release();
			this.responseEnd = null;
		}
	}

	/**
	 * Announces each request to the guard, and adds the id that the server may echo.
	 */
	private final class RequestMarker extends ChannelOutboundHandlerAdapter {

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			if (message instanceof HttpRequest request) {
				ResponseGuard guard = ResponseGuard.this;
				String id = guard.idPrefix + guard.requests++;
				guard.framing.begin(request.method().name(), id);
				request.headers().set(ResponseFraming.EXCHANGE_ID, id);
			}
			context.write(message, promise);
		}

	}

}
