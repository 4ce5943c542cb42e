package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.entry.completion.CompletionBody;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * One batch item that is granted to a dispatcher, with the tokens that earlier attempts
 * produced. Not thread-safe.
 */
final class BatchStream {

	private final WorkItem item;

	private final CompletionBody body;

	private final List<String> tokens = new ArrayList<>();

	private String version = "";

	private Attempt attempt;

	private int attempts;

	private long preemptedAtMillis;

	BatchStream(WorkItem item, CompletionBody body) {
		this.item = item;
		this.body = body;
	}

	WorkItem getItem() {
		return this.item;
	}

	CompletionBody getBody() {
		return this.body;
	}

	long getGrantId() {
		return this.item.getGrantId();
	}

	List<String> getTokens() {
		return this.tokens;
	}

	String getVersion() {
		return this.version;
	}

	void addToken(EngineEvent.Token token) {
		this.tokens.add(token.text());
		this.version = token.version();
	}

	Attempt getAttempt() {
		return this.attempt;
	}

	long getPreemptedAtMillis() {
		return this.preemptedAtMillis;
	}

	void setPreemptedAtMillis(long parkedAtMillis) {
		this.preemptedAtMillis = parkedAtMillis;
	}

	EngineRequest beginAttempt(Attempt newAttempt) {
		this.attempt = newAttempt;
		this.attempts++;
		String id = this.item.getBatchId() + "." + this.item.getIndex() + "." + this.item.getGrantId() + "."
				+ this.attempts;
		return new EngineRequest(RequestId.of(id), this.body.model(), this.body.prompt(), this.body.maxTokens(),
				this.tokens, "");
	}

	void endAttempt() {
		this.attempt = null;
	}

	WorkOutcome.Builder outcome(WorkStatus status, String upstream) {
		return WorkOutcome.newBuilder()
			.setPartition(this.item.getPartition())
			.setTerm(this.item.getTerm())
			.setBatchId(this.item.getBatchId())
			.setIndex(this.item.getIndex())
			.setGrantId(this.item.getGrantId())
			.setStatus(status)
			.setTokens(this.tokens.size())
			.setUpstream(upstream);
	}

	WorkOutcome failed(WorkStatus status, String upstream, String code, String message) {
		return outcome(status, upstream).setErrorCode(code).setErrorMessage(message).build();
	}

	// Returns the outcome of an item that cannot be parsed. The same item fails on
	// each try, so it was never sent to an upstream.
	WorkOutcome rejected(String upstream, WigeongladeException failure) {
		return outcome(WorkStatus.WORK_FAILED, upstream).setErrorCode(failure.getCode().getCode())
			.setErrorMessage(failure.getMessage())
			.setNotRun(true)
			.build();
	}

	WorkOutcome completed(String upstream, byte[] result) {
		return outcome(WorkStatus.WORK_COMPLETED, upstream).setResult(ByteString.copyFrom(result)).build();
	}

}
