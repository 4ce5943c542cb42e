package org.wigeonglade.entry.batch;

import io.smallrye.mutiny.Uni;

/**
 * Upload of the body of one job in pieces. The job is not accepted before
 * {@link #finish()} succeeds. Calls must not overlap: the next call may be made after the
 * previous one has completed.
 */
public interface JobUpload {

	/**
	 * Adds the next piece of the body.
	 * @param piece any number of bytes, which must not be modified afterwards; a line may
	 * span several pieces
	 * @return completes with null when the next piece may be written (backpressure);
	 * fails with {@link org.wigeonglade.core.error.InvalidRequestException}, whose
	 * message names the line, or with {@link org.wigeonglade.core.error.RefusedException}
	 */
	Uni<Void> write(byte[] piece);

	/**
	 * Ends the body and accepts the job.
	 * @return the status of the job, after its acceptance was read back from the log; if
	 * the idempotency key was used before, the status of the job accepted first. Fails as
	 * {@link #write} does, with {@link org.wigeonglade.core.error.ConflictException} if
	 * the key was used with another body, and with
	 * {@link org.wigeonglade.core.error.PlatformException} whose state is {@code unknown}
	 * if the job may have been accepted
	 */
	Uni<JobStatus> finish();

	/**
	 * Discards the upload, for example because the client has disconnected. Has no effect
	 * after the upload has ended.
	 */
	void abort();

}
