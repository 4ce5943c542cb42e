package org.wigeonglade.gateway.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerCall;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.KeyedStream;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Answers the calls of submitters: submit, read results, read an item, end. A job counts
 * as accepted when the store has acknowledged all of its records. Confined to the event
 * loop.
 */
public final class JobService {

	private static final EventLogger LOG = EventLogger.of(JobService.class);

	/**
	 * Age of the state in milliseconds up to which a job that is not known does not
	 * exist. Accepted jobs must be readable everywhere a second later.
	 */
	private static final long CERTAIN_MILLIS = 700;

	/** Longest time in milliseconds that a call waits for a recent state. */
	private static final long CERTAINTY_WAIT_MILLIS = 900;

	/**
	 * Pause in milliseconds before a job is appended again whose append got no answer.
	 */
	private static final long APPEND_PAUSE_MILLIS = 100;

	/**
	 * Time in milliseconds before the submitter's limit at which an uncertain append is
	 * reported, so that the answer still reaches it.
	 */
	private static final long ANSWER_RESERVE_MILLIS = 400;

	/** Retry time of a refusal while the store is away, in milliseconds. */
	private static final long STORE_RETRY_MILLIS = 400;

	private final JobLedger ledger;

	private final StreamFollower follower;

	private final KeyedLog log;

	private final CallerProtocol protocol;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Map<JobId, List<ResultWait>> resultWaits = new HashMap<>();

	private final Map<JobId, Submission> uncertain = new HashMap<>();

	/**
	 * Creates the service.
	 * @param ledger the jobs, not null
	 * @param follower the follower that feeds the ledger, not null
	 * @param log the store, not null
	 * @param protocol the wire format of callers, not null
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 */
	public JobService(JobLedger ledger, StreamFollower follower, KeyedLog log, CallerProtocol protocol, EventLoop loop,
			Ticker ticker) {
		this.ledger = ledger;
		this.follower = follower;
		this.log = log;
		this.protocol = protocol;
		this.loop = loop;
		this.ticker = ticker;
	}

	/**
	 * Accepts a job.
	 * @param exchange the call, not null
	 * @param route the route that it came on, not null
	 */
	public void submit(CallerExchange exchange, Route route) {
		Optional<String> id = this.protocol.requestId(exchange.getRequest().headers());
		if (id.isEmpty()) {
			answer(exchange, 400, "the job has no id");
			return;
		}
		JobId jobId = JobId.of(id.get());
		if (this.ledger.find(jobId).isPresent()) {
			LOG.log(GatewayEvent.JOB_REPEATED, jobId);
			answer(exchange, 202, "");
			return;
		}
		SubmittedJob job;
		try {
			job = this.protocol.readJob(jobId, route.getHostName(), exchange.getPath(), this.ticker.wallMillis(),
					exchange.getBody());
		}
		catch (InvalidRequestException ex) {
			LOG.log(GatewayEvent.JOB_REFUSED, jobId, 400, ex.getMessage(), 0);
			answer(exchange, 400, ex.getMessage());
			return;
		}
		append(new Submission(exchange, job, this.ticker.millis(), waitMillis(exchange, route)));
	}

	private long waitMillis(CallerExchange exchange, Route route) {
		long timeout = route.getTimeout().toMillis();
		long wait = this.protocol.waitMillis(exchange.getRequest().headers()).orElse(timeout);
		return Math.min(timeout, wait) - ANSWER_RESERVE_MILLIS;
	}

	/**
	 * Answers a call about a job.
	 * @param exchange the call, not null
	 * @param call what it asks for, not null
	 */
	public void handle(CallerExchange exchange, CallerCall call) {
		switch (call) {
			case CallerCall.ReadResults read ->
				withJob(exchange, read.job(), (job) -> readResults(exchange, job, read));
			case CallerCall.ReadItem read -> withJob(exchange, read.job(), (job) -> readItem(exchange, job, read));
			case CallerCall.EndJob end -> withJob(exchange, end.job(), (job) -> end(exchange, job));
			case CallerCall.Routed routed -> throw new IllegalArgumentException("not a call about a job");
		}
	}

	/**
	 * Is told that jobs changed.
	 * @param job the job, not null
	 */
	public void changed(Job job) {
		Submission submission = this.uncertain.get(job.getId());
		if (submission != null && job.isComplete()) {
			accept(submission, null);
		}
		List<ResultWait> waits = this.resultWaits.get(job.getId());
		if (waits != null) {
			waits.removeIf(ResultWait::check);
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
			answer(submission.exchange, 202, "");
		}
	}

	// An append without an answer may still take effect, so nothing is promised then. The
	// same records are appended again while the submitter waits: the stream keeps one
	// copy
	// of each key. An append that certainly did not take effect is refused at once.
	private void appendFailed(Submission submission, Throwable failure) {
		JobId id = submission.job.id();
		submission.mayHaveRun |= !(failure instanceof PlatformException platform) || platform.isUnknown();
		if (this.ledger.find(id).isPresent()) {
			accept(submission, null);
			return;
		}
		if (submission.exchange.isEnded()) {
			this.uncertain.remove(id, submission);
			return;
		}
		if (submission.mayHaveRun && elapsed(submission) + APPEND_PAUSE_MILLIS < submission.waitMillis) {
			LOG.log(GatewayEvent.JOB_APPENDED_AGAIN, id, failure.getMessage(), elapsed(submission));
			if (this.uncertain.put(id, submission) != submission) {
				this.loop.schedule(() -> giveUp(submission, failure.getMessage()),
						submission.waitMillis - elapsed(submission), TimeUnit.MILLISECONDS);
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
			int status = submission.mayHaveRun ? 504 : 503;
			LOG.log(GatewayEvent.JOB_REFUSED, submission.job.id(), status, reason, elapsed(submission));
			submission.exchange.respond(status, this.protocol.refusalHeaders((status == 503) ? STORE_RETRY_MILLIS : -1),
					new byte[0]);
		}
	}

	private long elapsed(Submission submission) {
		return this.ticker.millis() - submission.startMillis;
	}

	private void withJob(CallerExchange exchange, JobId id, Consumer<Job> action) {
		Optional<Job> job = this.ledger.find(id);
		if (job.isPresent()) {
			action.accept(job.get());
			return;
		}
		this.follower.onNextRead(() -> {
			if (!exchange.isEnded()) {
				this.ledger.find(id).ifPresentOrElse(action, () -> unknownJob(exchange, id));
			}
		});
		this.loop.schedule(() -> {
			if (!exchange.isEnded() && this.ledger.find(id).isEmpty()) {
				unknownJob(exchange, id);
			}
		}, CERTAINTY_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void unknownJob(CallerExchange exchange, JobId id) {
		long age = this.follower.getAgeMillis();
		if (age <= CERTAIN_MILLIS) {
			answer(exchange, 404, "no such job");
		}
		else {
			LOG.log(GatewayEvent.JOB_UNSURE, id, age, 503);
			exchange.respond(503, this.protocol.refusalHeaders(STORE_RETRY_MILLIS), new byte[0]);
		}
	}

	private void readResults(CallerExchange exchange, Job job, CallerCall.ReadResults read) {
		ResultWait wait = new ResultWait(exchange, job, read, (caller, call) -> writeResults(caller, job, call));
		if (read.waitMillis() <= 0) {
			wait.end();
		}
		else if (!wait.check()) {
			this.resultWaits.computeIfAbsent(job.getId(), (j) -> new ArrayList<>()).add(wait);
			this.loop.schedule(wait::end, read.waitMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void writeResults(CallerExchange exchange, Job job, CallerCall.ReadResults read) {
		if (!exchange.isEnded()) {
			exchange.respond(200, List.of(Map.entry("Content-Type", "application/json")),
					this.protocol.writeResults(job.getTotal(), read.from(), job.getResults(read.from())));
		}
	}

	private void readItem(CallerExchange exchange, Job job, CallerCall.ReadItem read) {
		Optional<SubmittedItem> item = job.findItem(read.item());
		if (item.isPresent() && !job.isEnded()) {
			exchange.respond(200, List.of(Map.entry("Content-Type", "application/octet-stream")), item.get().body());
		}
		else {
			answer(exchange, 404, "no such item");
		}
	}

	private void end(CallerExchange exchange, Job job) {
		if (job.isEnded()) {
			answer(exchange, 200, "");
			return;
		}
		KeyedRecord record = JobRecords.writeEnd(job.getId());
		this.log.append(KeyedStream.OWN, List.of(record)).subscribe().with((offset) -> this.loop.execute(() -> {
			LOG.log(GatewayEvent.JOB_ENDED, job.getId(), offset);
			answer(exchange, 200, "");
		}), (failure) -> this.loop.execute(() -> {
			LOG.log(GatewayEvent.JOB_UNSURE, job.getId(), this.follower.getAgeMillis(), 504);
			answer(exchange, 504, "the end of the job may not be recorded");
		}));
	}

	private static void answer(CallerExchange exchange, int status, String text) {
		exchange.respond(status, List.of(), text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Drops the waits that are over.
	 */
	public void maintain() {
		this.resultWaits.values().forEach((waits) -> waits.removeIf(ResultWait::check));
		this.resultWaits.values().removeIf(List::isEmpty);
	}

	private static final class Submission {

		private final CallerExchange exchange;

		private final SubmittedJob job;

		private final long startMillis;

		private final long waitMillis;

		private boolean mayHaveRun;

		private Submission(CallerExchange exchange, SubmittedJob job, long startMillis, long waitMillis) {
			this.exchange = exchange;
			this.job = job;
			this.startMillis = startMillis;
			this.waitMillis = waitMillis;
		}

	}

}
