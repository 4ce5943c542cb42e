package org.wigeonglade.peer;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Handler of an accepted connection. The first frame must be a hello. Malformed input is
 * answered with an error frame and closes the connection. Runs on one event loop.
 */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerFrame> {

	private static final EventLogger logger = EventLogger.of(PeerServerHandler.class);

	/** Bounds the memory that one peer can occupy with requests in progress. */
	private static final int MAX_REQUESTS_IN_PROGRESS = 1024;

	/**
	 * Periods of the keep-alive time without frames until the connection is closed. A
	 * client probes after one period, so that three mean that it is gone.
	 */
	private static final int MAX_IDLE_PERIODS = 3;

	private final PeerIdentity self;

	private final PeerOptions options;

	private final PeerHandlerRegistry handlers;

	private HostId from;

	private int requestsInProgress;

	private int idlePeriods;

	PeerServerHandler(PeerIdentity self, PeerOptions options, PeerHandlerRegistry handlers) {
		this.self = self;
		this.options = options;
		this.handlers = handlers;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		ctx.executor().schedule(() -> {
			if (this.from == null) {
				ctx.close();
			}
		}, this.options.connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		this.idlePeriods = 0;
		if (frame.hasHello() && !frame.getReply()) {
			onHello(ctx, frame);
		}
		else if (this.from == null) {
			reject(ctx, frame.getCorrelationId(), "the first frame of a connection must be a hello");
		}
		else if (frame.getReply()) {
			reject(ctx, frame.getCorrelationId(), "a reply was sent on a connection for requests");
		}
		else {
			onRequest(ctx, frame);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		updateAutoRead(ctx);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event instanceof IdleStateEvent) {
			this.idlePeriods++;
			if (this.idlePeriods >= MAX_IDLE_PERIODS) {
				ctx.close();
			}
			return;
		}
		super.userEventTriggered(ctx, event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof IOException) {
			ctx.close();
		}
		else if (cause instanceof DecoderException && this.from != null) {
			reject(ctx, 0, cause.getMessage());
		}
		else {
			// Before its hello a client is unidentified and gets no error frame.
			logger.log(PeerEvent.INPUT_REJECTED, ctx.channel().remoteAddress(), cause.getMessage());
			ctx.close();
		}
	}

	private void onHello(ChannelHandlerContext ctx, PeerFrame frame) {
		HostId claimed;
		try {
			claimed = HostId.of(frame.getHello().getHost());
		}
		catch (WigeongladeException ex) {
			reject(ctx, frame.getCorrelationId(), ex.getMessage());
			return;
		}
		SslHandler tls = ctx.pipeline().get(SslHandler.class);
		if (tls != null && !PeerTls.isIssuedTo(tls.engine().getSession(), claimed)) {
			logger.log(PeerEvent.IDENTITY_REJECTED, claimed, ctx.channel().remoteAddress());
			close(ctx, frame.getCorrelationId(), ErrorCode.PEER_IDENTITY_INVALID,
					"the certificate does not name the host " + claimed);
			return;
		}
		if (this.from != null && !this.from.equals(claimed)) {
			reject(ctx, frame.getCorrelationId(), "a connection cannot change its host");
			return;
		}
		this.from = claimed;
		ctx.writeAndFlush(PeerFrame.newBuilder()
			.setProtocolVersion(PeerIdentity.PROTOCOL_VERSION)
			.setCorrelationId(frame.getCorrelationId())
			.setReply(true)
			.setHello(this.self.toHello(frame.getHello().getPurpose()))
			.build());
	}

	private void onRequest(ChannelHandlerContext ctx, PeerFrame frame) {
		this.requestsInProgress++;
		updateAutoRead(ctx);
		this.handlers.dispatch(this.from, frame)
			.subscribe()
			.with((reply) -> finish(ctx, frame, reply),
					(failure) -> finish(ctx, frame, PeerErrors.toFrame(0, failure)));
	}

	private void finish(ChannelHandlerContext ctx, PeerFrame request, PeerFrame reply) {
		if (!ctx.executor().inEventLoop()) {
			ctx.executor().execute(() -> finish(ctx, request, reply));
			return;
		}
		this.requestsInProgress--;
		if (reply != null && request.getCorrelationId() != 0) {
			ctx.writeAndFlush(reply.toBuilder()
				.setProtocolVersion(PeerIdentity.PROTOCOL_VERSION)
				.setCorrelationId(request.getCorrelationId())
				.setReply(true)
				.build());
		}
		updateAutoRead(ctx);
	}

	// Pauses reading while replies accumulate, which bounds the memory that a slow client
	// can occupy.
	private void updateAutoRead(ChannelHandlerContext ctx) {
		boolean autoRead = ctx.channel().isWritable() && this.requestsInProgress < MAX_REQUESTS_IN_PROGRESS;
		if (ctx.channel().config().isAutoRead() != autoRead) {
			ctx.channel().config().setAutoRead(autoRead);
		}
	}

	private void reject(ChannelHandlerContext ctx, long correlationId, String reason) {
		logger.log(PeerEvent.INPUT_REJECTED, ctx.channel().remoteAddress(), reason);
		close(ctx, correlationId, ErrorCode.PEER_MESSAGE_INVALID, reason);
	}

	private void close(ChannelHandlerContext ctx, long correlationId, ErrorCode code, String reason) {
		ctx.writeAndFlush(PeerErrors.toFrame(correlationId, code, reason)).addListener(ChannelFutureListener.CLOSE);
	}

}
