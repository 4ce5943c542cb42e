package org.wigeonglade.gateway.job;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedStream;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Makes submitted jobs durable and answers their submitters. An append whose outcome is
 * not known is repeated while the submitter waits; the stream keeps one copy of each key,
 * so that a repeated append changes nothing. An append that certainly did not take effect
 * is refused at once. Near the quota of a route the decision is made on the newest state,
 * and the append is made on the condition that this state has not changed. Confined to
 * the event loop.
 */
final class JobSubmitter {

	private static final EventLogger LOG = EventLogger.of(JobSubmitter.class);

	private static final int QUOTA_EXCEEDED = 429;

	/**
	 * Pause in milliseconds before a job is appended again whose append got no answer.
	 */
	private static final long APPEND_PAUSE_MILLIS = 100;

	/**
	 * Time in milliseconds before the submitter's limit at which an uncertain append is
	 * reported, so that the answer still reaches it.
	 */
	private static final long ANSWER_RESERVE_MILLIS = 400;

	/** Longest time in milliseconds that a decision waits for the newest state. */
	private static final long NEWEST_STATE_WAIT_MILLIS = 900;

	private final JobLedger ledger;

	private final StreamFollower follower;

	private final RouteQuota quota;

	private final KeyedLog log;

	private final CallerProtocol protocol;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Map<JobId, Submission> uncertain = new HashMap<>();

	JobSubmitter(JobLedger ledger, StreamFollower follower, RouteQuota quota, KeyedLog log, CallerProtocol protocol,
			EventLoop loop, Ticker ticker) {
		this.ledger = ledger;
		this.follower = follower;
		this.quota = quota;
		this.log = log;
		this.protocol = protocol;
		this.loop = loop;
		this.ticker = ticker;
	}

	/**
	 * Appends a job.
	 * @param exchange the call of the submitter, not null
	 * @param job the job, not null
	 * @param route its route, not null
	 * @param waitMillis for how long the submitter waits for the answer
	 */
	void submit(CallerExchange exchange, SubmittedJob job, Route route, long waitMillis) {
		Submission submission = new Submission(exchange, job, route, this.ticker.millis(),
				waitMillis - ANSWER_RESERVE_MILLIS);
		if (this.quota.decide(job, route) == QuotaPolicy.Decision.APPEND) {
			append(submission);
		}
		else {
			decideOnNewestState(submission);
		}
	}

	/**
	 * Is told that the stream shows a change of a job.
	 * @param job the job, not null
	 */
	void changed(Job job) {
		if (job.isComplete()) {
			this.quota.settled(job.getId());
		}
		Submission submission = this.uncertain.get(job.getId());
		if (submission != null && job.isComplete()) {
			accept(submission, null);
		}
	}

	private void decideOnNewestState(Submission submission) {
		int round = ++submission.decisions;
		this.follower.whenCaughtUp(() -> decide(submission, round));
		this.loop.schedule(() -> {
			if (submission.decisions == round) {
				submission.decisions++;
				giveUp(submission, "the newest jobs are not known");
			}
		}, NEWEST_STATE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void decide(Submission submission, int round) {
		if (submission.decisions != round || submission.exchange.isEnded()) {
			return;
		}
		submission.decisions++;
		if (this.ledger.find(submission.job.id()).isPresent()) {
			accept(submission, null);
			return;
		}
		switch (this.quota.decide(submission.job, submission.route)) {
			case APPEND -> append(submission);
			case APPEND_IF_UNCHANGED -> appendIfUnchanged(submission);
			case REFUSE -> refuse(submission);
		}
	}

	// An append that may still be executed forbids to say that the job was not accepted.
	private void refuse(Submission submission) {
		if (submission.mayBeStored) {
			tryAgainLater(submission, "the job does not fit, but may have been stored");
			return;
		}
		long retryMillis = this.quota.retryAfter(submission.job, submission.route).toMillis();
		LOG.log(GatewayEvent.JOB_REFUSED, submission.job.id(), QUOTA_EXCEEDED,
				"the quota of route " + submission.route.getName() + " is used up", elapsed(submission));
		submission.exchange.respond(QUOTA_EXCEEDED, this.protocol.refusalHeaders(retryMillis), new byte[0]);
	}

	private void appendIfUnchanged(Submission submission) {
		submission.conditional = true;
		this.quota.appending(submission.job, submission.route);
		this.log.appendAt(KeyedStream.OWN, JobRecords.write(submission.job), this.follower.getNextOffset())
			.subscribe()
			.with((offset) -> this.loop.execute(() -> accept(submission, offset)),
					(failure) -> this.loop.execute(() -> conditionalAppendFailed(submission, failure)));
	}

	private void conditionalAppendFailed(Submission submission, Throwable failure) {
		boolean conflict = failure instanceof PlatformException platform
				&& platform.getCode() == ErrorCode.APPEND_CONFLICT;
		if (conflict && !submission.mayBeStored) {
			this.quota.settled(submission.job.id());
		}
		if (conflict && !submission.exchange.isEnded() && elapsed(submission) < submission.limitMillis) {
			decideOnNewestState(submission);
		}
		else {
			appendFailed(submission, failure);
		}
	}

	private void append(Submission submission) {
		submission.conditional = false;
		this.quota.appending(submission.job, submission.route);
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
		if (submission.mayBeStored) {
			tryAgainLater(submission, failure.getMessage());
		}
		else {
			giveUp(submission, failure.getMessage());
		}
	}

	private void tryAgainLater(Submission submission, String reason) {
		JobId id = submission.job.id();
		if (elapsed(submission) + APPEND_PAUSE_MILLIS >= submission.limitMillis) {
			giveUp(submission, reason);
			return;
		}
		LOG.log(GatewayEvent.JOB_APPEND_RETRIED, id, reason, elapsed(submission));
		if (this.uncertain.put(id, submission) != submission) {
			this.loop.schedule(() -> giveUp(submission, reason), submission.limitMillis - elapsed(submission),
					TimeUnit.MILLISECONDS);
		}
		this.loop.schedule(() -> {
			if (submission.exchange.isEnded()) {
				return;
			}
			if (submission.conditional) {
				decideOnNewestState(submission);
			}
			else {
				append(submission);
			}
		}, APPEND_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void giveUp(Submission submission, String reason) {
		this.uncertain.remove(submission.job.id(), submission);
		if (!submission.mayBeStored) {
			this.quota.settled(submission.job.id());
		}
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

		private final Route route;

		private final long startMillis;

		private final long limitMillis;

		private boolean mayBeStored;

		private boolean conditional;

		// Counts the decisions that were begun or made; a timer of an earlier one does
		// nothing.
		private int decisions;

		private Submission(CallerExchange exchange, SubmittedJob job, Route route, long startMillis, long limitMillis) {
			this.exchange = exchange;
			this.job = job;
			this.route = route;
			this.startMillis = startMillis;
			this.limitMillis = limitMillis;
		}

	}

}
