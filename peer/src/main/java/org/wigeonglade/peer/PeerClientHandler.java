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
 * Drives one outgoing connection: says hello, checks who answers, hands replies on and
 * probes a silent connection. Runs on the event loop of its link.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<PeerFrame> {

	private static final EventLogger logger = EventLogger.of(PeerClientHandler.class);

	private final PeerLink link;

	private boolean greeted;

	private boolean probing;

	private String closeReason = "the peer closed the connection";

	PeerClientHandler(PeerLink link) {
		this.link = link;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		ctx.executor().schedule(() -> {
			if (!this.greeted) {
				close(ctx, "the peer did not say hello in time");
			}
		}, this.link.getContext().options().connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
		if (ctx.pipeline().get(SslHandler.class) == null) {
			sayHello(ctx);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.link.onClosed(this.closeReason);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		this.probing = false;
		if (frame.hasHello()) {
			onHello(ctx, frame.getHello().getHost());
		}
		else if (frame.hasError() && frame.getCorrelationId() == 0) {
			close(ctx, "the peer answered " + frame.getError().getCode() + ": " + frame.getError().getMessage());
		}
		else if (!this.greeted || !frame.getReply()) {
			close(ctx, "the peer sent a frame that is no reply");
		}
		else {
			this.link.getContext().replies().complete(frame);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event instanceof IdleStateEvent) {
			onSilence(ctx);
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

	private void onHello(ChannelHandlerContext ctx, String found) {
		HostId expected = this.link.getHost();
		if (!expected.value().equals(found)) {
			logger.log(PeerEvent.OTHER_HOST, expected, found, this.link.getAddress());
			close(ctx, "the address belongs to the host " + found);
		}
		else if (!this.greeted) {
			this.greeted = true;
			this.link.onReady(ctx.channel());
		}
	}

	private void checkCertificate(ChannelHandlerContext ctx) {
		SslHandler tls = ctx.pipeline().get(SslHandler.class);
		if (PeerTls.names(tls.engine().getSession(), this.link.getHost())) {
			sayHello(ctx);
		}
		else {
			logger.log(PeerEvent.IDENTITY_REJECTED, this.link.getHost(), this.link.getAddress());
			close(ctx, "the certificate of the peer does not name the host");
		}
	}

	// Probes a connection without incoming frames, because a lost machine or a dropped
	// route leaves a connection open for minutes.
	private void onSilence(ChannelHandlerContext ctx) {
		if (this.probing) {
			close(ctx, "the peer did not answer a probe");
		}
		else {
			this.probing = true;
			sayHello(ctx);
		}
	}

	private void sayHello(ChannelHandlerContext ctx) {
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
