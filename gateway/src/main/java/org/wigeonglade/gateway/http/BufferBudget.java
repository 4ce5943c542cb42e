package org.wigeonglade.gateway.http;

import io.netty.util.internal.PlatformDependent;

/**
 * The budget of memory for data that the process buffers for callers: uploads that are
 * being received or sent, and responses that are not read yet. Confined to the event
 * loop.
 */
public final class BufferBudget {

	/**
	 * Size in bytes up to which an upload is not counted: requests of this size are
	 * served also while large uploads are refused.
	 */
	static final int SMALL_UPLOAD_BYTES = 16 * 1024;

	private final long uploadLimit;

	private final long responseLimit;

	private long uploads;

	private long responses;

	private long readersCutOff;

	/**
	 * Creates a budget.
	 * @param uploadLimit the limit of uploads in bytes
	 * @param responseLimit the limit of unread responses in bytes
	 */
	public BufferBudget(long uploadLimit, long responseLimit) {
		this.uploadLimit = uploadLimit;
		this.responseLimit = responseLimit;
	}

	/**
	 * Returns the budget of this process. Both an upload, when it is sent to a runner,
	 * and a response are copied to direct memory, of which a part is left to other
	 * connections; uploads are on the heap, too.
	 * @return a budget, never null
	 */
	public static BufferBudget ofProcess() {
		long direct = PlatformDependent.maxDirectMemory();
		return new BufferBudget(Math.min(Runtime.getRuntime().maxMemory() / 4, direct * 5 / 8), direct / 4);
	}

	/**
	 * Reserves memory for an upload.
	 * @param bytes the number of bytes
	 * @return false if the upload does not fit
	 */
	boolean tryReserveUpload(long bytes) {
		if (this.uploads + bytes > this.uploadLimit) {
			return false;
		}
		this.uploads += bytes;
		return true;
	}

	void releaseUpload(long bytes) {
		this.uploads -= bytes;
	}

	void adjustResponses(long change) {
		this.responses += change;
	}

	boolean isExceeded() {
		return this.responses > this.responseLimit;
	}

	void countCutOff() {
		this.readersCutOff++;
	}

	/**
	 * Returns the memory that uploads take.
	 * @return the number of bytes
	 */
	public long getUploadBytes() {
		return this.uploads;
	}

	/**
	 * Returns the memory that unread responses take.
	 * @return the number of bytes
	 */
	public long getResponseBytes() {
		return this.responses;
	}

	/**
	 * Returns the number of callers whose connection was closed because they read too
	 * slowly.
	 * @return the number since the start
	 */
	public long getReadersCutOff() {
		return this.readersCutOff;
	}

}
