package org.wigeonglade.entry.batch;

import io.smallrye.mutiny.Uni;

/**
 * Takes the body of a job in pieces and accepts the job at the end. Nothing is accepted
 * before {@link #finish()} succeeds. Calls must not overlap: the next one is made after
 * the previous result arrived.
 */
public interface JobUpload {

	/**
	 * Takes the next piece of the body.
	 * @param piece any number of bytes; lines may span pieces; not changed afterwards
	 * @return completes with null when the next piece may be given (backpressure); fails
	 * with {@link org.wigeonglade.core.error.InvalidRequestException} that names the line
	 * or with {@link org.wigeonglade.core.error.RefusedException}
	 */
	Uni<Void> write(byte[] piece);

	/**
	 * Ends the body and accepts the job.
	 * @return the job, after its acceptance was read back; of a resent key the job that
	 * was accepted first. Fails as {@link #write} does, with
	 * {@link org.wigeonglade.core.error.ConflictException} if the key was used with
	 * another body, and with {@link org.wigeonglade.core.error.PlatformException} whose
	 * state is {@code unknown} if the job may have been accepted
	 */
	Uni<JobStatus> finish();

	/**
	 * Drops the upload, for example because the client is gone.
	 */
	void abort();

}
