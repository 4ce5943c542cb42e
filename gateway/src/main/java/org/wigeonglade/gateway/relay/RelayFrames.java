package org.wigeonglade.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * The framing of relayed connections: each frame follows its length in four bytes. An
 * empty frame from the relaying host marks the end of the runner's bytes, so that a relay
 * that is lost is not taken for a runner that has closed its connection.
 */
final class RelayFrames {

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 1 << 20;

	private RelayFrames() {
	}

	static void addCodec(ChannelPipeline pipeline) {
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES),
				new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
	}

	static ByteBuf end() {
		return Unpooled.EMPTY_BUFFER;
	}

	static boolean isEnd(ByteBuf frame) {
		return !frame.isReadable();
	}

}
