package org.wigeonglade.gateway.job;

import org.wigeonglade.gateway.caller.CallerCall;
import org.wigeonglade.gateway.http.CallerExchange;

/**
 * A call that waits for a result. It is answered once: when a result exists, when nothing
 * is left to wait for, or when its time is over.
 */
final class ResultWait {

	private final CallerExchange exchange;

	private final Job job;

	private final CallerCall.ReadResults call;

	private final Runnable answer;

	private boolean over;

	ResultWait(CallerExchange exchange, Job job, CallerCall.ReadResults call, Runnable answer) {
		this.exchange = exchange;
		this.job = job;
		this.call = call;
		this.answer = answer;
	}

	/**
	 * Answers if a result exists or none will come.
	 * @return true if the call needs no further check
	 */
	boolean check() {
		if (!this.job.getResults(this.call.from()).isEmpty() || this.job.isDone()) {
			end();
		}
		return this.over || this.exchange.isEnded();
	}

	/**
	 * Answers with what there is.
	 */
	void end() {
		if (!this.over) {
			this.over = true;
			this.answer.run();
		}
	}

}
