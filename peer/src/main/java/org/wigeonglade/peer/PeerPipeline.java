package org.wigeonglade.peer;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Builds the Netty pipeline of a connection: traffic counters, TLS, length-prefixed
 * protobuf frames, idle detection, and the handler of the client or server side.
 */
final class PeerPipeline {

	/** Size of the length field that precedes each frame. */
	private static final int LENGTH_BYTES = 4;

	private PeerPipeline() {
	}

	static void build(Channel channel, PeerOptions options, PeerTraffic traffic, SslContext tls,
			ChannelHandler handler) {
		channel.config()
			.setWriteBufferWaterMark(
					new WriteBufferWaterMark(options.writeBufferBytes() / 2, options.writeBufferBytes()));
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.addLast(traffic);
		if (tls != null) {
			pipeline.addLast(tls.newHandler(channel.alloc()));
		}
		pipeline.addLast(new LengthFieldBasedFrameDecoder(options.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		pipeline.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(new IdleStateHandler(options.keepAlive().toMillis(), 0, 0, TimeUnit.MILLISECONDS));
		pipeline.addLast(handler);
	}

}
