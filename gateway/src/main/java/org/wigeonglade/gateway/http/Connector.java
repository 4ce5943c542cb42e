package org.wigeonglade.gateway.http;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;

/**
 * Opens client connections on one event loop.
 */
public final class Connector {

	/**
	 * Size in bytes of the kernel's send buffer of a connection to a server. Linux
	 * reserves twice as much. With buffers that grow by themselves, which reach 4 MiB, a
	 * request of 3 MB counts as written before the server has read any of it. 512 KiB are
	 * in transit at 420 Mbit/s and a round trip of 10 ms.
	 */
	public static final int SEND_BUFFER_BYTES = 256 * 1024;

	private static final AttributeKey<ClientConnection> CONNECTION = AttributeKey.valueOf("client-connection");

	private final EventLoop loop;

	/**
	 * Creates a connector.
	 * @param loop the event loop of all connections, not null
	 */
	public Connector(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Opens a connection.
	 * @param address the address of the server, not null
	 * @param timeout the connect timeout, not null
	 * @param listener called once, on the event loop, not null
	 */
	public void connect(InetSocketAddress address, Duration timeout, Listener listener) {
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.attr(CONNECTION).set(ClientConnection.ofDirect(channel));
				}
			})
			.connect(address)
			.addListener((ChannelFuture future) -> {
				if (future.isSuccess()) {
					listener.connected(future.channel().attr(CONNECTION).get());
				}
				else {
					listener.failed(future.cause());
				}
			});
	}

	/**
	 * Receives the outcome of a connection attempt.
	 */
	public interface Listener {

		/**
		 * Called when the connection is open.
		 * @param connection the connection, not null
		 */
		void connected(ClientConnection connection);

		/**
		 * Called when the connection could not be opened.
		 * @param cause the cause, not null
		 */
		void failed(Throwable cause);

	}

}
