package org.wigeonglade.peer;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Handler of an outgoing connection: sends the hello, verifies the host at the other end,
 * matches replies to requests and probes an idle connection. Runs on the event loop of
 * its link.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerFrame> {

	private static final EventLogger logger = EventLogger.of(PeerClientHandler.class);

	private final PeerLink link;

	private boolean helloReceived;

	private boolean probePending;

	private String closeReason = "the peer closed the connection";

	PeerClientHandler(PeerLink link) {
		this.link = link;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		ctx.executor().schedule(() -> {
			if (!this.helloReceived) {
				close(ctx, "the peer sent no hello in time");
			}
		}, this.link.getContext().options().connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
		if (ctx.pipeline().get(SslHandler.class) == null) {
			sendHello(ctx);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.link.onClosed(this.closeReason);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		this.probePending = false;
		if (frame.hasHello()) {
			onHello(ctx, frame.getHello().getHost());
		}
		else if (frame.hasError() && frame.getCorrelationId() == 0) {
			close(ctx, "the peer answered " + frame.getError().getCode() + ": " + frame.getError().getMessage());
		}
		else if (!this.helloReceived || !frame.getReply()) {
			close(ctx, "the peer sent a frame before its hello or a frame that is no reply");
		}
		else {
			this.link.getContext().pendingRequests().complete(frame);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event instanceof IdleStateEvent) {
			onReadIdle(ctx);
		}
		else if (event instanceof SslHandshakeCompletionEvent completion && completion.isSuccess()) {
			checkCertificate(ctx);
		}
		else {
			super.userEventTriggered(ctx, event);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		close(ctx, String.valueOf(cause.getMessage()));
	}

	private void onHello(ChannelHandlerContext ctx, String actual) {
		HostId expected = this.link.getHost();
		if (!expected.value().equals(actual)) {
			logger.log(PeerEvent.UNEXPECTED_HOST, expected, actual, this.link.getAddress());
			close(ctx, "the address belongs to the host " + actual);
		}
		else if (!this.helloReceived) {
			this.helloReceived = true;
			this.link.onReady(ctx.channel());
		}
	}

	private void checkCertificate(ChannelHandlerContext ctx) {
		SslHandler tls = ctx.pipeline().get(SslHandler.class);
		if (PeerTls.isIssuedTo(tls.engine().getSession(), this.link.getHost())) {
			sendHello(ctx);
		}
		else {
			logger.log(PeerEvent.IDENTITY_REJECTED, this.link.getHost(), this.link.getAddress());
			close(ctx, "the certificate of the peer does not name the host");
		}
	}

	// Without a probe, a connection stays open for minutes after the loss of the machine
	// or of the route.
	private void onReadIdle(ChannelHandlerContext ctx) {
		if (this.probePending) {
			close(ctx, "the peer did not reply to a keep-alive probe");
		}
		else {
			this.probePending = true;
			sendHello(ctx);
		}
	}

	private void sendHello(ChannelHandlerContext ctx) {
		ctx.writeAndFlush(PeerFrame.newBuilder()
			.setProtocolVersion(PeerIdentity.PROTOCOL_VERSION)
			.setHello(this.link.getContext().self().toHello(this.link.getPurpose()))
			.build());
	}

	private void close(ChannelHandlerContext ctx, String reason) {
		this.closeReason = reason;
		ctx.close();
	}

}
