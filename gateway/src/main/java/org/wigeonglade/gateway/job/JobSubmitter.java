package org.wigeonglade.gateway.job;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedStream;

/**
 * Makes submitted jobs durable and answers their submitters. An append whose outcome is
 * not known is repeated while the submitter waits; the stream keeps one copy of each key,
 * so that a repeated append changes nothing. An append that certainly did not take effect
 * is refused at once. Confined to the event loop.
 */
final class JobSubmitter {

	private static final EventLogger LOG = EventLogger.of(JobSubmitter.class);

	/**
	 * Pause in milliseconds before a job is appended again whose append got no answer.
	 */
	private static final long APPEND_PAUSE_MILLIS = 100;

	/**
	 * Time in milliseconds before the submitter's limit at which an uncertain append is
	 * reported, so that the answer still reaches it.
	 */
	private static final long ANSWER_RESERVE_MILLIS = 400;

	private final JobLedger ledger;

	private final KeyedLog log;

	private final CallerProtocol protocol;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Map<JobId, Submission> uncertain = new HashMap<>();

	JobSubmitter(JobLedger ledger, KeyedLog log, CallerProtocol protocol, EventLoop loop, Ticker ticker) {
		this.ledger = ledger;
		this.log = log;
		this.protocol = protocol;
		this.loop = loop;
		this.ticker = ticker;
	}

	/**
	 * Appends a job.
	 * @param exchange the call of the submitter, not null
	 * @param job the job, not null
	 * @param waitMillis for how long the submitter waits for the answer
	 */
	void submit(CallerExchange exchange, SubmittedJob job, long waitMillis) {
		append(new Submission(exchange, job, this.ticker.millis(), waitMillis - ANSWER_RESERVE_MILLIS));
	}

	/**
	 * Is told that the stream shows a change of a job.
	 * @param job the job, not null
	 */
	void changed(Job job) {
		Submission submission = this.uncertain.get(job.getId());
		if (submission != null && job.isComplete()) {
			accept(submission, null);
		}
	}

	private void append(Submission submission) {
		this.log.append(KeyedStream.OWN, JobRecords.write(submission.job))
			.subscribe()
			.with((offset) -> this.loop.execute(() -> accept(submission, offset)),
					(failure) -> this.loop.execute(() -> appendFailed(submission, failure)));
	}

	// The offset is null if the job was seen in the stream before the append was
	// answered.
	private void accept(Submission submission, Long offset) {
		SubmittedJob job = submission.job;
		this.uncertain.remove(job.id(), submission);
		if (!submission.exchange.isEnded()) {
			LOG.log(GatewayEvent.JOB_ACCEPTED, job.id(), job.items().size(), offset, elapsed(submission));
			JobService.answer(submission.exchange, 202, "");
		}
	}

	// Nothing is promised while the outcome of an append is not known.
	private void appendFailed(Submission submission, Throwable failure) {
		JobId id = submission.job.id();
		submission.mayBeStored |= !(failure instanceof PlatformException platform) || platform.isUnknown();
		if (this.ledger.find(id).isPresent()) {
			accept(submission, null);
			return;
		}
		if (submission.exchange.isEnded()) {
			this.uncertain.remove(id, submission);
			return;
		}
		if (submission.mayBeStored && elapsed(submission) + APPEND_PAUSE_MILLIS < submission.limitMillis) {
			LOG.log(GatewayEvent.JOB_APPENDED_AGAIN, id, failure.getMessage(), elapsed(submission));
			if (this.uncertain.put(id, submission) != submission) {
				this.loop.schedule(() -> giveUp(submission, failure.getMessage()),
						submission.limitMillis - elapsed(submission), TimeUnit.MILLISECONDS);
			}
			this.loop.schedule(() -> {
				if (!submission.exchange.isEnded()) {
					append(submission);
				}
			}, APPEND_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		giveUp(submission, failure.getMessage());
	}

	private void giveUp(Submission submission, String reason) {
		this.uncertain.remove(submission.job.id(), submission);
		if (!submission.exchange.isEnded()) {
			int status = submission.mayBeStored ? 504 : 503;
			LOG.log(GatewayEvent.JOB_REFUSED, submission.job.id(), status, reason, elapsed(submission));
			submission.exchange.respond(status,
					this.protocol.refusalHeaders((status == 503) ? JobService.STORE_RETRY_MILLIS : -1), new byte[0]);
		}
	}

	private long elapsed(Submission submission) {
		return this.ticker.millis() - submission.startMillis;
	}

	private static final class Submission {

		private final CallerExchange exchange;

		private final SubmittedJob job;

		private final long startMillis;

		private final long limitMillis;

		private boolean mayBeStored;

		private Submission(CallerExchange exchange, SubmittedJob job, long startMillis, long limitMillis) {
			this.exchange = exchange;
			this.job = job;
			this.startMillis = startMillis;
			this.limitMillis = limitMillis;
		}

	}

}
