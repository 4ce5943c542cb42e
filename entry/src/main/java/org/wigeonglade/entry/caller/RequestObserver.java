package org.wigeonglade.entry.caller;

import java.util.Map;

import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.entry.online.OnlineRequest;
import org.wigeonglade.entry.operator.HopTracer;

/**
 * Recorder of metrics, account events and the trace span of one online request. Not
 * thread-safe.
 */
final class RequestObserver {

	private final CallerContext parts;

	private final OnlineRequest request;

	private final HopTracer.HopSpan hop;

	private final long startNanos;

	private long lastTokenNanos;

	private int tokenCount;

	private boolean ended;

	RequestObserver(CallerContext parts, OnlineRequest request, HopTracer.HopSpan hop) {
		this.parts = parts;
		this.request = request;
		this.hop = hop;
		this.startNanos = parts.ticker().nanos();
		hop.setAttribute("request_id", request.id().value());
		hop.setAttribute("service", request.service().value());
	}

	void recordToken() {
		long now = this.parts.ticker().nanos();
		String service = this.request.service().value();
		if (this.tokenCount == 0) {
			this.parts.metrics().observeFirstToken(service, now - this.startNanos);
		}
		else {
			this.parts.metrics().observeInterToken(service, now - this.lastTokenNanos);
		}
		this.tokenCount++;
		this.lastTokenNanos = now;
	}

	void recordCompletion() {
		recordOutcome("completed", AccountCode.COMPLETED, Map.of("tokens", Integer.toString(this.tokenCount),
				"duration_ms", Long.toString((this.parts.ticker().nanos() - this.startNanos) / 1_000_000L)));
		this.hop.end();
	}

	void recordDisconnect() {
		if (this.ended) {
			return;
		}
		recordOutcome("client_gone", AccountCode.CLIENT_GONE, Map.of("tokens", Integer.toString(this.tokenCount)));
		this.hop.end();
	}

	void recordFailure(WigeongladeException failure) {
		Map<String, String> figures = Map.of("code", failure.getCode().getCode(), "ran",
				failure.getExecutionState().getText());
		if (failure instanceof RefusedException) {
			this.parts.metrics().countRefusal(failure.getCode());
			recordOutcome("refused", AccountCode.REFUSED, figures);
		}
		else {
			recordOutcome("failed", AccountCode.FAILED, figures);
		}
		this.hop.fail(failure);
	}

	private void recordOutcome(String outcome, AccountCode code, Map<String, String> figures) {
		this.ended = true;
		String service = this.request.service().value();
		this.parts.metrics().countRequest(service, outcome);
		this.parts.metrics().countTokens(service, "online", this.tokenCount);
		this.parts.account().record(code, "request", this.request.id().value(), null, figures);
	}

}
