package org.wigeonglade.entry.batch;

import java.util.Map;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Records the acceptance of a job in the account.
 */
final class RecordedUpload implements JobUpload {

	private final JobUpload upload;

	private final AccountRecorder account;

	private final WorkspaceId workspace;

	RecordedUpload(JobUpload upload, AccountRecorder account, WorkspaceId workspace) {
		this.upload = upload;
		this.account = account;
		this.workspace = workspace;
	}

	@Override
	public Uni<Void> write(byte[] piece) {
		return this.upload.write(piece);
	}

	@Override
	public Uni<JobStatus> finish() {
		return this.upload.finish()
			.invoke((status) -> this.account.record(AccountCode.ACCEPTED, "batch", status.id().toString(), null,
					Map.of("workspace", this.workspace.value(), "service", status.service(), "items",
							Integer.toString(status.items()))));
	}

	@Override
	public void abort() {
		this.upload.abort();
	}

}
