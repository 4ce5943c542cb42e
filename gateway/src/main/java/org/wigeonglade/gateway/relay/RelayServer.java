package org.wigeonglade.gateway.relay;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.Connector;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.schema.generated.gateway.RelayRequest;
import org.wigeonglade.schema.generated.gateway.RelayResponse;
import org.wigeonglade.schema.generated.gateway.RelayStatus;

/**
 * Connects other hosts to runners. Only registered runners are connected, at the address
 * that this host knows. Confined to its event loop.
 */
public final class RelayServer {

	private static final EventLogger LOG = EventLogger.of(RelayServer.class);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	/**
	 * Time in seconds without a byte in either direction after which a relayed connection
	 * is closed: longer than runners keep idle connections, and a host that has lost
	 * power does not close its end.
	 */
	private static final int IDLE_SECONDS = 15;

	private final EventLoop loop;

	private final Function<RunnerId, Optional<RunnerEntry>> directory;

	private final BooleanSupplier available;

	private final Set<HostSide> connections = new HashSet<>();

	private Channel listener;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the event loop, not null
	 * @param directory finds registered runners, not null
	 * @param available whether this host reaches runners, not null
	 */
	public RelayServer(EventLoop loop, Function<RunnerId, Optional<RunnerEntry>> directory, BooleanSupplier available) {
		this.loop = loop;
		this.directory = directory;
		this.available = available;
	}

	/**
	 * Starts listening.
	 * @param address the local address, not null
	 * @return completes when the server is listening, or fails
	 */
	public ChannelFuture listen(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					RelayFrames.addCodec(channel.pipeline());
					channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_SECONDS), new HostSide(channel));
				}
			})
			.bind(address);
		bound.addListener((ChannelFuture future) -> {
			if (future.isSuccess()) {
				this.listener = future.channel();
			}
		});
		return bound;
	}

	/**
	 * Returns whether other hosts may ask for connections.
	 * @return true while this host listens and reaches runners
	 */
	public boolean isAvailable() {
		return this.listener != null && this.available.getAsBoolean();
	}

	/**
	 * Returns the number of relayed connections that may carry a request: those that are
	 * open. Other hosts close their idle ones when this host shuts down, and the bytes do
	 * not tell a pause within a response from its end.
	 * @return the number of connections
	 */
	public int getBusyConnectionCount() {
		return this.connections.size();
	}

	/**
	 * Stops listening and closes all relayed connections.
	 */
	public void close() {
		if (this.listener != null) {
			this.listener.close();
		}
		Set.copyOf(this.connections).forEach((connection) -> connection.host.close());
	}

	/**
	 * The connection to the other host.
	 */
	private final class HostSide extends ChannelInboundHandlerAdapter {

		private final Channel host;

		private final RunnerSide runnerSide;

		private Channel runner;

		private boolean requested;

		private HostSide(Channel host) {
			this.host = host;
			this.runnerSide = new RunnerSide(host);
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			RelayServer.this.connections.add(this);
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf frame = (ByteBuf) message;
			if (this.runner != null) {
				this.runnerSide.write(this.runner, frame);
				this.host.config().setAutoRead(this.runner.isWritable());
				return;
			}
			byte[] bytes = ByteBufUtil.getBytes(frame);
			frame.release();
			if (this.requested) {
				this.host.close();
				return;
			}
			this.requested = true;
			try {
				connect(RunnerId.of(RelayRequest.parseFrom(bytes).getRunner()));
			}
			catch (InvalidProtocolBufferException ex) {
				LOG.log(GatewayEvent.RELAY_REQUEST_INVALID, ex, bytes.length);
				this.host.close();
			}
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			if (this.runner != null) {
				this.runner.config().setAutoRead(this.host.isWritable());
			}
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			this.host.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			this.host.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			RelayServer.this.connections.remove(this);
			if (this.runner != null) {
				this.runner.close();
			}
		}

		private void connect(RunnerId id) {
			Optional<RunnerEntry> entry = RelayServer.this.directory.apply(id);
			if (!isAvailable() || entry.isEmpty()) {
				decline(RelayStatus.RELAY_STATUS_DECLINED,
						entry.isEmpty() ? "the runner is not registered" : "this host does not reach runners");
				return;
			}
			new Bootstrap().group(RelayServer.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
				.option(ChannelOption.SO_SNDBUF, Connector.SEND_BUFFER_BYTES)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
				.handler(this.runnerSide)
				.connect(entry.get().address())
				.addListener((ChannelFuture opened) -> connected(id, opened));
		}

		private void connected(RunnerId id, ChannelFuture opened) {
			if (!opened.isSuccess()) {
				decline(RelayStatus.RELAY_STATUS_RUNNER_UNREACHABLE, FailureText.of(opened.cause()));
				return;
			}
			if (!this.host.isActive()) {
				opened.channel().close();
				return;
			}
			this.runner = opened.channel();
			LOG.log(GatewayEvent.CONNECTION_RELAYED, id, this.host.remoteAddress());
			write(RelayStatus.RELAY_STATUS_CONNECTED, "");
		}

		private void decline(RelayStatus status, String reason) {
			write(status, reason).addListener(ChannelFutureListener.CLOSE);
		}

		private ChannelFuture write(RelayStatus status, String reason) {
			byte[] response = RelayResponse.newBuilder().setStatus(status).setReason(reason).build().toByteArray();
			return this.host.writeAndFlush(Unpooled.wrappedBuffer(response));
		}

	}

	/**
	 * The connection to the runner.
	 */
	private final class RunnerSide extends ChannelInboundHandlerAdapter {

		private final Channel host;

		private long writtenBytes;

		private boolean ended;

		private RunnerSide(Channel host) {
			this.host = host;
		}

		private void write(Channel runner, ByteBuf frame) {
			int bytes = frame.readableBytes();
			runner.writeAndFlush(frame).addListener((future) -> this.writtenBytes += future.isSuccess() ? bytes : 0);
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.host.writeAndFlush(message);
			context.channel().config().setAutoRead(this.host.isWritable());
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.host.config().setAutoRead(context.channel().isWritable());
		}

		// The bytes that are written later, when the runner has ended its response, are
		// no
		// part of a request that was written whole before.
		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event == ChannelInputShutdownEvent.INSTANCE) {
				this.ended = true;
				this.host.write(RelayFrames.end());
				this.host.writeAndFlush(RelayFrames.written(this.writtenBytes))
					.addListener(ChannelFutureListener.CLOSE);
				context.close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

		// A reset, or a write that failed, must not look like an orderly end to the other
		// host.
		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!this.ended) {
				this.host.close();
			}
		}

	}

}
