package org.wigeonglade.entry.batch;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.RefusedException;

/**
 * Upload that was refused before it began; each call fails with the same exception.
 */
final class RefusedUpload implements JobUpload {

	private final RefusedException refusal;

	RefusedUpload(RefusedException refusal) {
		this.refusal = refusal;
	}

	@Override
	public Uni<Void> write(byte[] piece) {
		return Uni.createFrom().failure(this.refusal);
	}

	@Override
	public Uni<JobStatus> finish() {
		return Uni.createFrom().failure(this.refusal);
	}

	@Override
	public void abort() {
		// There is nothing to release.
	}

}
