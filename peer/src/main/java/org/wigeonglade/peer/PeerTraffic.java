package org.wigeonglade.peer;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counters of the bytes on the wire and of the dropped frames of a transport.
 * Thread-safe.
 */
@ChannelHandler.Sharable
public final class PeerTraffic extends ChannelDuplexHandler {

	private final LongAdder sent = new LongAdder();

	private final LongAdder received = new LongAdder();

	private final LongAdder dropped = new LongAdder();

	PeerTraffic() {
	}

	/**
	 * Returns the bytes written to connections.
	 * @return bytes since the start
	 */
	public long getBytesSent() {
		return this.sent.sum();
	}

	/**
	 * Returns the bytes read from connections.
	 * @return bytes since the start
	 */
	public long getBytesReceived() {
		return this.received.sum();
	}

	/**
	 * Returns the frames that were dropped because a connection was closed or its buffer
	 * was full.
	 * @return frames since the start
	 */
	public long getFramesDropped() {
		return this.dropped.sum();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
		if (msg instanceof ByteBuf buf) {
			this.received.add(buf.readableBytes());
		}
		super.channelRead(ctx, msg);
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) throws Exception {
		if (msg instanceof ByteBuf buf) {
			this.sent.add(buf.readableBytes());
		}
		super.write(ctx, msg, promise);
	}

	void countDropped() {
		this.dropped.increment();
	}

}
