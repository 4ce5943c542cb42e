package org.wigeonglade.entry.caller;

import java.util.Map;

import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.entry.online.OnlineRequest;
import org.wigeonglade.entry.operator.HopTracer;

/**
 * Keeps metrics, account and trace of one online request. Not thread-safe.
 */
final class RequestObserver {

	private final CallerParts parts;

	private final OnlineRequest request;

	private final HopTracer.Hop hop;

	private final long startedNanos;

	private long lastNanos;

	private int tokens;

	private boolean ended;

	RequestObserver(CallerParts parts, OnlineRequest request, HopTracer.Hop hop) {
		this.parts = parts;
		this.request = request;
		this.hop = hop;
		this.startedNanos = parts.ticker().nanos();
		hop.setAttribute("request_id", request.id().value());
		hop.setAttribute("service", request.service().value());
	}

	void token() {
		long now = this.parts.ticker().nanos();
		String service = this.request.service().value();
		if (this.tokens == 0) {
			this.parts.metrics().observeFirstToken(service, now - this.startedNanos);
		}
		else {
			this.parts.metrics().observeInterToken(service, now - this.lastNanos);
		}
		this.tokens++;
		this.lastNanos = now;
	}

	void completed() {
		end("completed", AccountCode.COMPLETED, Map.of("tokens", Integer.toString(this.tokens), "duration_ms",
				Long.toString((this.parts.ticker().nanos() - this.startedNanos) / 1_000_000L)));
		this.hop.end();
	}

	void clientGone() {
		if (this.ended) {
			return;
		}
		end("client_gone", AccountCode.CLIENT_GONE, Map.of("tokens", Integer.toString(this.tokens)));
		this.hop.end();
	}

	void failed(WigeongladeException failure) {
		Map<String, String> figures = Map.of("code", failure.getCode().getCode(), "ran",
				failure.getExecutionState().getText());
		if (failure instanceof RefusedException) {
			this.parts.metrics().countRefusal(failure.getCode());
			end("refused", AccountCode.REFUSED, figures);
		}
		else {
			end("failed", AccountCode.FAILED, figures);
		}
		this.hop.fail(failure);
	}

	private void end(String outcome, AccountCode code, Map<String, String> figures) {
		this.ended = true;
		String service = this.request.service().value();
		this.parts.metrics().countRequest(service, outcome);
		this.parts.metrics().countTokens(service, "online", this.tokens);
		this.parts.account().record(code, "request", this.request.id().value(), null, figures);
	}

}
