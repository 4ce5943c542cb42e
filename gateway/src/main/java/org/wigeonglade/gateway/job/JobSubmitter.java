package org.wigeonglade.gateway.job;

import java.util.concurrent.TimeUnit;

import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import io.netty.channel.EventLoop;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.FailureText;
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
import org.wigeonglade.gateway.workspace.RequestIdentity;

/**
 * Makes submitted jobs durable and responds to their submitters. An append with unknown
 * outcome is retried while the submitter waits; appends are idempotent, since the stream
 * keeps one record of each key. If an append certainly did not take effect, the job is
 * refused at once. Near the quota of a route, the decision is made on freshly read state,
 * and the append is conditional on that state being unchanged. Confined to the event
 * loop.
 */
final class JobSubmitter {

	private static final EventLogger LOG = EventLogger.of(JobSubmitter.class);

	private static final int QUOTA_EXCEEDED = 429;

	/**
	 * Delay in milliseconds before an append with unknown outcome is retried.
	 */
	private static final long APPEND_RETRY_DELAY_MILLIS = 100;

	/**
	 * Time in milliseconds before the submitter's time limit at which an append whose
	 * outcome is still unknown is reported as such, so that the response arrives in time.
	 */
	private static final long RESPONSE_MARGIN_MILLIS = 400;

	/** Maximum time in milliseconds that a decision waits for freshly read state. */
	private static final long FRESH_STATE_WAIT_MILLIS = 900;

	private final JobTable jobTable;

	private final StreamFollower follower;

	private final RouteQuotaTracker quota;

	private final KeyedLog log;

	private final CallerProtocol protocol;

	private final EventLoop loop;

	private final Ticker ticker;

	private final SetMultimap<JobId, Submission> unconfirmed = LinkedHashMultimap.create();

	JobSubmitter(JobTable jobTable, StreamFollower follower, RouteQuotaTracker quota, KeyedLog log,
			CallerProtocol protocol, EventLoop loop, Ticker ticker) {
		this.jobTable = jobTable;
		this.follower = follower;
		this.quota = quota;
		this.log = log;
		this.protocol = protocol;
		this.loop = loop;
		this.ticker = ticker;
	}

	/**
	 * Appends a job if its quota permits and responds to the submitter.
	 * @param exchange the request of the submitter, not null
	 * @param job the job, not null
	 * @param route the route of the job, not null
	 * @param deadlineMillis the monotonic time in milliseconds by which the submitter
	 * must get the response
	 */
	void submit(CallerExchange exchange, SubmittedJob job, Route route, long deadlineMillis) {
		long now = this.ticker.millis();
		long waitMillis = deadlineMillis - now;
		long limitMillis = Math.max(waitMillis - RESPONSE_MARGIN_MILLIS, waitMillis / 2);
		Submission submission = new Submission(exchange, job, route, now, limitMillis);
		this.loop.schedule(() -> limitReached(submission), limitMillis, TimeUnit.MILLISECONDS);
		if (this.quota.decide(job, route) == QuotaPolicy.Decision.APPEND) {
			append(submission);
		}
		else {
			decideOnFreshState(submission);
		}
	}

	/**
	 * Completes a submission with unknown outcome once the job has been read from the
	 * stream.
	 * @param job the job that changed, not null
	 */
	void jobChanged(Job job) {
		if (job.isComplete()) {
			this.quota.removePending(job.getId());
			this.unconfirmed.removeAll(job.getId()).forEach((submission) -> accept(submission, null));
		}
	}

	private void limitReached(Submission submission) {
		if (!submission.exchange.isEnded()) {
			submission.mayBeStored |= submission.appending;
			failSubmission(submission, "the outcome was not known in time");
		}
	}

	private void decideOnFreshState(Submission submission) {
		int sequence = ++submission.decisionSequence;
		this.follower.whenCaughtUp(() -> decide(submission, sequence));
		this.loop.schedule(() -> {
			if (submission.decisionSequence == sequence) {
				submission.decisionSequence++;
				failSubmission(submission, "the current state of jobs could not be read in time");
			}
		}, FRESH_STATE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void decide(Submission submission, int sequence) {
		if (submission.decisionSequence != sequence || submission.exchange.isEnded()) {
			return;
		}
		submission.decisionSequence++;
		if (this.jobTable.find(submission.job.id()).isPresent()) {
			accept(submission, null);
			return;
		}
		switch (this.quota.decide(submission.job, submission.route)) {
			case APPEND -> append(submission);
			case APPEND_IF_UNCHANGED -> appendIfUnchanged(submission);
			case REFUSE -> refuse(submission);
		}
	}

	// While an earlier append may still be executed, the job must not be reported as
	// refused.
	private void refuse(Submission submission) {
		if (submission.mayBeStored) {
			retryAppendLater(submission, "the job exceeds the quota, but may already be stored");
			return;
		}
		long retryMillis = this.quota.retryAfter(submission.job, submission.route).toMillis();
		LOG.log(GatewayEvent.JOB_REFUSED, submission.job.id(), QUOTA_EXCEEDED,
				"the quota of route " + submission.route.getName() + " is exhausted", elapsed(submission));
		submission.exchange.respond(QUOTA_EXCEEDED, this.protocol.refusalHeaders(retryMillis), new byte[0]);
	}

	private void appendIfUnchanged(Submission submission) {
		submission.conditional = true;
		submission.appending = true;
		this.quota.addPending(submission.job, submission.route);
		this.log.appendAt(KeyedStream.OWN, JobRecords.write(submission.job), this.follower.getNextOffset())
			.subscribe()
			.with((offset) -> this.loop.execute(() -> accept(submission, offset)),
					(failure) -> this.loop.execute(() -> conditionalAppendFailed(submission, failure)));
	}

	private void conditionalAppendFailed(Submission submission, Throwable failure) {
		submission.appending = false;
		boolean conflict = failure instanceof PlatformException platform
				&& platform.getCode() == ErrorCode.APPEND_CONFLICT;
		if (conflict && !submission.mayBeStored) {
			this.quota.removePending(submission.job.id());
		}
		if (conflict && !submission.exchange.isEnded() && elapsed(submission) < submission.limitMillis) {
			decideOnFreshState(submission);
		}
		else {
			appendFailed(submission, failure);
		}
	}

	private void append(Submission submission) {
		submission.conditional = false;
		submission.appending = true;
		this.quota.addPending(submission.job, submission.route);
		this.log.append(KeyedStream.OWN, JobRecords.write(submission.job))
			.subscribe()
			.with((offset) -> this.loop.execute(() -> accept(submission, offset)),
					(failure) -> this.loop.execute(() -> appendFailed(submission, failure)));
	}

	// The offset is null if the job was read from the stream before the append
	// completed.
	private void accept(Submission submission, Long offset) {
		SubmittedJob job = submission.job;
		if (!isOwnerKnown(job)) {
			this.unconfirmed.put(job.id(), submission);
			return;
		}
		this.unconfirmed.remove(job.id(), submission);
		if (isOfAnotherWorkspace(job)) {
			JobService.respondUnusableId(submission.exchange);
		}
		else if (!submission.exchange.isEnded()) {
			LOG.log(GatewayEvent.JOB_ACCEPTED, job.id(), job.items().size(), offset, elapsed(submission));
			JobService.respond(submission.exchange, 202, "");
		}
	}

	// Two workspaces may submit jobs with the same id at the same time. Which one is
	// first
	// is known once the job is read from the stream.
	private boolean isOwnerKnown(SubmittedJob job) {
		return job.workspace().isEmpty() || this.jobTable.find(job.id()).filter(Job::isComplete).isPresent();
	}

	// Of two jobs with the same id, the one that is first in the stream is kept.
	private boolean isOfAnotherWorkspace(SubmittedJob job) {
		return this.jobTable.find(job.id())
			.filter((known) -> known.isComplete() && !known.isAccessibleTo(RequestIdentity.ofJob(job.workspace())))
			.isPresent();
	}

	// The job is neither confirmed nor refused while the outcome of an append is unknown.
	private void appendFailed(Submission submission, Throwable failure) {
		JobId id = submission.job.id();
		submission.appending = false;
		submission.mayBeStored |= !(failure instanceof PlatformException platform) || platform.isUnknown();
		if (this.jobTable.find(id).isPresent()) {
			accept(submission, null);
			return;
		}
		if (submission.exchange.isEnded()) {
			this.unconfirmed.remove(id, submission);
			return;
		}
		if (submission.mayBeStored) {
			retryAppendLater(submission, FailureText.of(failure));
		}
		else {
			failSubmission(submission, FailureText.of(failure));
		}
	}

	private void retryAppendLater(Submission submission, String reason) {
		JobId id = submission.job.id();
		if (elapsed(submission) + APPEND_RETRY_DELAY_MILLIS >= submission.limitMillis) {
			failSubmission(submission, reason);
			return;
		}
		LOG.log(GatewayEvent.JOB_APPEND_RETRIED, id, reason, elapsed(submission));
		this.unconfirmed.put(id, submission);
		this.loop.schedule(() -> {
			if (submission.exchange.isEnded()) {
				return;
			}
			if (submission.conditional) {
				decideOnFreshState(submission);
			}
			else {
				append(submission);
			}
		}, APPEND_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void failSubmission(Submission submission, String reason) {
		this.unconfirmed.remove(submission.job.id(), submission);
		if (!submission.mayBeStored) {
			this.quota.removePending(submission.job.id());
		}
		if (!submission.exchange.isEnded()) {
			int status = submission.mayBeStored ? 504 : 503;
			LOG.log(GatewayEvent.JOB_REFUSED, submission.job.id(), status, reason, elapsed(submission));
			submission.exchange.respond(status,
					this.protocol.refusalHeaders((status == 503) ? JobService.STORE_RETRY_AFTER_MILLIS : -1),
					new byte[0]);
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

		private boolean appending;

		// Incremented when a decision is started and when it is made, so that timers and
		// callbacks of earlier decisions have no effect.
		private int decisionSequence;

		private Submission(CallerExchange exchange, SubmittedJob job, Route route, long startMillis, long limitMillis) {
			this.exchange = exchange;
			this.job = job;
			this.route = route;
			this.startMillis = startMillis;
			this.limitMillis = limitMillis;
		}

	}

}
