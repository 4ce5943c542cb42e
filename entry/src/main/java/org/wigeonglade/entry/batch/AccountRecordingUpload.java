package org.wigeonglade.entry.batch;

import java.util.Map;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Upload that records the acceptance of the job in the account.
 */
final class AccountRecordingUpload implements JobUpload {

	private final JobUpload delegate;

	private final AccountRecorder account;

	private final WorkspaceId workspace;

	AccountRecordingUpload(JobUpload delegate, AccountRecorder account, WorkspaceId workspace) {
		this.delegate = delegate;
		this.account = account;
		this.workspace = workspace;
	}

	@Override
	public Uni<Void> write(byte[] piece) {
		return this.delegate.write(piece);
	}

	@Override
	public Uni<JobStatus> finish() {
		return this.delegate.finish()
			.invoke((status) -> this.account.record(AccountCode.ACCEPTED, "batch", status.id().toString(), null,
					Map.of("workspace", this.workspace.value(), "service", status.service(), "items",
							Integer.toString(status.items()))));
	}

	@Override
	public void abort() {
		this.delegate.abort();
	}

}
