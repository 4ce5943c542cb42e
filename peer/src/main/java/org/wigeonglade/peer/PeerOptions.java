package org.wigeonglade.peer;

import java.time.Duration;

/**
 * Limits and time-outs of the connections between hosts.
 *
 * @param maxFrameBytes the largest frame accepted or sent
 * @param writeBufferBytes the largest number of unsent bytes buffered on one connection
 * @param maxPendingFrames the largest number of frames queued until a connection opens
 * @param connectTimeout the time limit to connect, and again to receive the hello
 * @param firstBackoff the delay after the first failed attempt
 * @param maxBackoff the largest delay between attempts
 * @param keepAlive the time without received frames after which a connection is probed; a
 * second such period closes it
 */
public record PeerOptions(int maxFrameBytes, int writeBufferBytes, int maxPendingFrames, Duration connectTimeout,
		Duration firstBackoff, Duration maxBackoff, Duration keepAlive) {

	/**
	 * A grant of 60 items of the largest size fits into 16 MiB.
	 */
	private static final int DEFAULT_MAX_FRAME_BYTES = 16 << 20;

	private static final int DEFAULT_WRITE_BUFFER_BYTES = 8 << 20;

	private static final int DEFAULT_MAX_PENDING_FRAMES = 1024;

	/**
	 * Returns the options used in production.
	 * @return the options, never null
	 */
	public static PeerOptions defaults() {
		return new PeerOptions(DEFAULT_MAX_FRAME_BYTES, DEFAULT_WRITE_BUFFER_BYTES, DEFAULT_MAX_PENDING_FRAMES,
				Duration.ofMillis(1000), Duration.ofMillis(50), Duration.ofMillis(1000), Duration.ofSeconds(5));
	}

	/**
	 * Returns a copy with another frame limit.
	 * @param bytes the largest frame, at least 1024
	 * @return the copy
	 */
	public PeerOptions withMaxFrameBytes(int bytes) {
		return new PeerOptions(bytes, this.writeBufferBytes, this.maxPendingFrames, this.connectTimeout,
				this.firstBackoff, this.maxBackoff, this.keepAlive);
	}

	/**
	 * Returns a copy with another write buffer limit.
	 * @param bytes the largest number of unsent bytes, at least 1024
	 * @return the copy
	 */
	public PeerOptions withWriteBufferBytes(int bytes) {
		return new PeerOptions(this.maxFrameBytes, bytes, this.maxPendingFrames, this.connectTimeout, this.firstBackoff,
				this.maxBackoff, this.keepAlive);
	}

	/**
	 * Returns a copy with another keep-alive time.
	 * @param time the time without received frames until a probe
	 * @return the copy
	 */
	public PeerOptions withKeepAlive(Duration time) {
		return new PeerOptions(this.maxFrameBytes, this.writeBufferBytes, this.maxPendingFrames, this.connectTimeout,
				this.firstBackoff, this.maxBackoff, time);
	}

}
