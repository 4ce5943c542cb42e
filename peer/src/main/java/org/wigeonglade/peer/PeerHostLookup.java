package org.wigeonglade.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.smallrye.mutiny.subscription.UniEmitter;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Determines which host listens on an address, by a connection that is closed after the
 * hello.
 */
final class PeerHostLookup extends SimpleChannelInboundHandler<PeerFrame> {

	private final PeerLink.LinkContext context;

	private final UniEmitter<? super HostId> emitter;

	private PeerHostLookup(PeerLink.LinkContext context, UniEmitter<? super HostId> emitter) {
		this.context = context;
		this.emitter = emitter;
	}

	static void start(PeerLink.LinkContext context, EventLoop loop, InetSocketAddress address,
			UniEmitter<? super HostId> emitter) {
		PeerHostLookup handler = new PeerHostLookup(context, emitter);
		new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) context.options().connectTimeout().toMillis())
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					PeerPipeline.build(channel, context.options(), context.traffic(),
							(context.tls() != null) ? context.tls().getClient() : null, handler);
				}
			})
			.connect(address)
			.addListener((future) -> {
				if (!future.isSuccess()) {
					handler.fail(String.valueOf(future.cause().getMessage()));
				}
			});
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		ctx.executor()
			.schedule(() -> ctx.close(), this.context.options().connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
		if (ctx.pipeline().get(SslHandler.class) == null) {
			sendHello(ctx);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail("the connection was closed before the hello of the peer");
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		SslHandler tls = ctx.pipeline().get(SslHandler.class);
		try {
			HostId host = HostId.of(frame.getHello().getHost());
			if (tls == null || PeerTls.isIssuedTo(tls.engine().getSession(), host)) {
				this.emitter.complete(host);
			}
			else {
				this.emitter.fail(new PeerException(ErrorCode.PEER_IDENTITY_INVALID,
						"the certificate of the peer does not name the host " + host));
			}
		}
		catch (WigeongladeException ex) {
			this.emitter.fail(new PeerException(ErrorCode.PEER_MESSAGE_INVALID, ex.getMessage(), ex));
		}
		ctx.close();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event instanceof SslHandshakeCompletionEvent completion && completion.isSuccess()) {
			sendHello(ctx);
		}
		super.userEventTriggered(ctx, event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail(String.valueOf(cause.getMessage()));
		ctx.close();
	}

	private void sendHello(ChannelHandlerContext ctx) {
		ctx.writeAndFlush(PeerFrame.newBuilder()
			.setProtocolVersion(PeerIdentity.PROTOCOL_VERSION)
			.setHello(this.context.self().toHello(LinkPurpose.CONTROL))
			.build());
	}

	private void fail(String reason) {
		this.emitter.fail(new PeerException(ErrorCode.PEER_UNREACHABLE, "cannot identify the peer: " + reason));
	}

}
