package org.wigeonglade.gateway.http;

/**
 * Tells since when a caller has not taken a byte of the data that waits for it. Confined
 * to the event loop.
 */
final class ReaderProgress {

	private Object part;

	private long partProgress;

	private long pendingBytes;

	private long progressMillis;

	/**
	 * Records the state of the write buffer.
	 * @param currentPart the part that is being written, null if the buffer is empty
	 * @param currentProgress the bytes of the part that the caller has taken
	 * @param pending the bytes in the buffer
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the change of the bytes in the buffer since the last call
	 */
	long update(Object currentPart, long currentProgress, long pending, long nowMillis) {
		if (currentPart == null || currentPart != this.part || currentProgress != this.partProgress) {
			this.progressMillis = nowMillis;
		}
		long change = pending - this.pendingBytes;
		this.part = currentPart;
		this.partProgress = currentProgress;
		this.pendingBytes = pending;
		return change;
	}

	long getPendingBytes() {
		return this.pendingBytes;
	}

	long getStalledMillis(long nowMillis) {
		return (this.part != null) ? nowMillis - this.progressMillis : 0;
	}

}
