package org.wigeonglade.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * The framing of relayed connections: each frame follows its length in four bytes. An
 * empty frame from the relaying host marks the orderly end of the runner's bytes, so that
 * a relay that is lost, or a runner that was reset, is not taken for a runner that has
 * closed its connection. A frame with the number of bytes that were written to the runner
 * follows it, since the runner may have ended its connection while more were on the way.
 * Hosts of earlier versions neither send nor read that number.
 */
final class RelayFrames {

	private static final int LENGTH_BYTES = 4;

	/**
	 * Largest part of a request in a frame. The receiver forwards a frame when it has all
	 * of it, and closes the connection at a larger one than it allows.
	 */
	static final int MAX_PART_BYTES = 64 * 1024;

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

	static ByteBuf written(long bytes) {
		return Unpooled.copyLong(bytes);
	}

	// Returns a negative number if the frame has another form.
	static long readWritten(ByteBuf frame) {
		return (frame.readableBytes() == Long.BYTES) ? frame.readLong() : -1;
	}

	static boolean isEnd(ByteBuf frame) {
		return !frame.isReadable();
	}

}
