package org.wigeonglade.entry.batch;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.RefusedException;

/**
 * Upload that is refused from its first call on.
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
		// Nothing was opened.
	}

}
