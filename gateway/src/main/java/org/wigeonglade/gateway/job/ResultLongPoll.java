package org.wigeonglade.gateway.job;

import org.wigeonglade.gateway.caller.CallerOperation;
import org.wigeonglade.gateway.http.CallerExchange;

/**
 * Long-poll request for results. It is completed once: when a result is available, when
 * no further result will come, or when its wait time is over.
 */
final class ResultLongPoll {

	private final CallerExchange exchange;

	private final Job job;

	private final CallerOperation.ReadResults operation;

	private final Runnable responder;

	private boolean finished;

	ResultLongPoll(CallerExchange exchange, Job job, CallerOperation.ReadResults operation, Runnable responder) {
		this.exchange = exchange;
		this.job = job;
		this.operation = operation;
		this.responder = responder;
	}

	/**
	 * Responds if a result is available or no further result will come.
	 * @return true if the request is finished and needs no further check
	 */
	boolean check() {
		if (!this.job.getResults(this.operation.from()).isEmpty() || this.job.isDone()) {
			finish();
		}
		return this.finished || this.exchange.isEnded();
	}

	/**
	 * Responds with the results available now, unless already done.
	 */
	void finish() {
		if (!this.finished) {
			this.finished = true;
			this.responder.run();
		}
	}

}
