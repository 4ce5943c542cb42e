package org.wigeonglade.gateway.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.schema.generated.gateway.RelayRequest;
import org.wigeonglade.schema.generated.gateway.RelayResponse;
import org.wigeonglade.schema.generated.gateway.RelayStatus;

/**
 * Opens connections to runners by way of other hosts. Confined to its event loop.
 */
public final class RelayConnector {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	/**
	 * Time in milliseconds until the other host has responded: the timeout of its
	 * connection to the runner and some round trips.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 400;

	private final EventLoop loop;

	/**
	 * Creates a connector.
	 * @param loop the event loop of all connections, not null
	 */
	public RelayConnector(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Opens a connection to a runner.
	 * @param host the address of the other host, not null
	 * @param runner the runner, not null
	 * @param listener called once, on the event loop, not null
	 */
	public void connect(InetSocketAddress host, RunnerId runner, Listener listener) {
		RelayHandler handler = new RelayHandler(listener);
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					RelayFrames.addCodec(channel.pipeline());
					channel.pipeline().addLast(handler);
				}
			})
			.connect(host)
			.addListener((ChannelFuture opened) -> {
				if (opened.isSuccess()) {
					handler.request(opened.channel(), runner);
				}
				else {
					listener.relayFailed(FailureText.of(opened.cause()));
				}
			});
	}

	/**
	 * Receives the outcome of opening a connection.
	 */
	public interface Listener {

		/**
		 * Called when the runner is connected.
		 * @param connection the connection, not null
		 */
		void connected(ClientConnection connection);

		/**
		 * Called when the other host could not reach the runner either.
		 * @param reason a description for the log, not null
		 */
		void runnerUnreachable(String reason);

		/**
		 * Called when the other host did not try to reach the runner.
		 * @param reason a description for the log, not null
		 */
		void relayFailed(String reason);

	}

	/**
	 * Takes off the framing once the runner is connected. The connection has ended in
	 * order if all bytes that were sent on it have been written to the runner.
	 */
	private final class RelayHandler extends ChannelDuplexHandler {

		private final Listener listener;

		private ScheduledFuture<?> timeout;

		private boolean responded;

		private boolean connected;

		private boolean ended;

		private long sentBytes;

		private RelayHandler(Listener listener) {
			this.listener = listener;
		}

		private void request(Channel channel, RunnerId runner) {
			this.timeout = RelayConnector.this.loop.schedule(() -> {
				fail("the other host did not respond");
				channel.close();
			}, RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			byte[] request = RelayRequest.newBuilder().setRunner(runner.value()).build().toByteArray();
			channel.writeAndFlush(Unpooled.wrappedBuffer(request));
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf frame = (ByteBuf) message;
			if (this.connected && !this.ended && !RelayFrames.isEnd(frame)) {
				context.fireChannelRead(frame);
				return;
			}
			try {
				if (this.ended) {
					endInput(context, RelayFrames.readWritten(frame));
				}
				else if (this.connected) {
					this.ended = true;
				}
				else if (!this.responded) {
					readResponse(context, ByteBufUtil.getBytes(frame));
				}
			}
			finally {
				frame.release();
			}
		}

		private void endInput(ChannelHandlerContext context, long writtenBytes) {
			if (writtenBytes == this.sentBytes) {
				context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
			}
			else {
				context.fireExceptionCaught(
						new IOException("the runner closed the connection before the request was written whole"));
			}
			context.close();
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			ByteBuf bytes = (ByteBuf) message;
			if (this.connected) {
				this.sentBytes += bytes.readableBytes();
			}
			while (bytes.readableBytes() > RelayFrames.MAX_PART_BYTES) {
				context.write(bytes.readRetainedSlice(RelayFrames.MAX_PART_BYTES));
			}
			context.write(bytes, promise);
		}

		private void readResponse(ChannelHandlerContext context, byte[] bytes) {
			this.responded = true;
			this.timeout.cancel(false);
			RelayResponse response;
			try {
				response = RelayResponse.parseFrom(bytes);
			}
			catch (InvalidProtocolBufferException ex) {
				this.listener.relayFailed("the response cannot be decoded: " + ex.getMessage());
				context.close();
				return;
			}
			if (response.getStatus() == RelayStatus.RELAY_STATUS_CONNECTED) {
				this.connected = true;
				this.listener.connected(ClientConnection.ofRelay(context.channel()));
				return;
			}
			context.close();
			if (response.getStatus() == RelayStatus.RELAY_STATUS_RUNNER_UNREACHABLE) {
				this.listener.runnerUnreachable(response.getReason());
			}
			else {
				this.listener.relayFailed(response.getReason());
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			fail("the other host closed the connection");
			if (this.connected) {
				context.fireExceptionCaught(new IOException("the connection to the relaying host was lost"));
			}
			context.fireChannelInactive();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (this.connected) {
				context.fireExceptionCaught(cause);
			}
			context.close();
		}

		private void fail(String reason) {
			if (!this.responded) {
				this.responded = true;
				this.timeout.cancel(false);
				this.listener.relayFailed(reason);
			}
		}

	}

}
