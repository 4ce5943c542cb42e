package org.wigeonglade.gateway.job;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.caller.CallerOperation;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.KeyedStream;
import org.wigeonglade.gateway.store.StreamFollower;
import org.wigeonglade.gateway.workspace.RequestIdentity;

/**
 * Handles the job API of submitters: submit a job, read results, read an item, end a job.
 * A job counts as accepted once the store has acknowledged all of its records. Confined
 * to the event loop.
 */
public final class JobService {

	private static final EventLogger LOG = EventLogger.of(JobService.class);

	/**
	 * Maximum age in milliseconds of the state of jobs at which an unknown job or result
	 * is reported as nonexistent. Accepted jobs, and results that were read on one host,
	 * must be readable on all hosts one second later.
	 */
	private static final long MAX_STATE_AGE_MILLIS = 700;

	/** Maximum time that a request waits for freshly read state. */
	private static final Duration FRESH_STATE_WAIT = Duration.ofMillis(900);

	/** Maximum time until the append of the end of a job is acknowledged or fails. */
	private static final Duration MAX_APPEND_TIME = Duration.ofMillis(2_000);

	/**
	 * A monotonic time after any request; halved so that differences do not overflow.
	 */
	private static final long NEVER_MILLIS = Long.MAX_VALUE / 2;

	/** Retry delay in milliseconds sent to callers while the store is unavailable. */
	static final long STORE_RETRY_AFTER_MILLIS = 400;

	private final JobTable jobTable;

	private final StreamFollower follower;

	private final KeyedLog log;

	private final CallerProtocol protocol;

	private final EventLoop loop;

	private final Ticker ticker;

	private final Map<JobId, List<ResultLongPoll>> longPolls = new HashMap<>();

	private final JobSubmitter submitter;

	private long answerEndMillis = NEVER_MILLIS;

	/**
	 * Creates the service.
	 * @param jobTable the state of jobs, not null
	 * @param follower the follower that updates the state of jobs, not null
	 * @param log the store, not null
	 * @param quota the quota usage of routes, not null
	 * @param protocol the wire format of callers, not null
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 */
	public JobService(JobTable jobTable, StreamFollower follower, KeyedLog log, RouteQuotaTracker quota,
			CallerProtocol protocol, EventLoop loop, Ticker ticker) {
		this.jobTable = jobTable;
		this.follower = follower;
		this.log = log;
		this.protocol = protocol;
		this.loop = loop;
		this.ticker = ticker;
		this.submitter = new JobSubmitter(jobTable, follower, quota, log, protocol, loop, ticker);
	}

	/**
	 * Handles the submission of a job. A job that has been accepted before is confirmed
	 * again.
	 * @param exchange the request, not null
	 * @param route the route of the request, not null
	 * @param identity on whose behalf it is made, not null
	 * @param deadlineMillis the monotonic time in milliseconds by which the request must
	 * be answered
	 */
	public void submit(CallerExchange exchange, Route route, RequestIdentity identity, long deadlineMillis) {
		Optional<String> id = this.protocol.requestId(exchange.getRequest().headers());
		if (id.isEmpty()) {
			respond(exchange, 400, "the job has no id");
			return;
		}
		JobId jobId = JobId.of(id.get());
		Optional<Job> known = this.jobTable.find(jobId);
		if (known.isPresent()) {
			if (known.get().isAccessibleTo(identity)) {
				LOG.log(GatewayEvent.JOB_RESUBMITTED, jobId);
				respond(exchange, 202, "");
			}
			else {
				respondUnusableId(exchange);
			}
			return;
		}
		SubmittedJob job;
		try {
			job = this.protocol
				.readJob(jobId, route.getHostName(), exchange.getPath(), this.ticker.wallMillis(), exchange.getBody())
				.withWorkspace(identity.workspace());
		}
		catch (InvalidRequestException ex) {
			LOG.log(GatewayEvent.JOB_REFUSED, jobId, 400, ex.getMessage(), 0);
			respond(exchange, 400, ex.getMessage());
			return;
		}
		this.submitter.submit(exchange, job, route, deadlineMillis);
	}

	/**
	 * Returns the time that a request about a job needs at most, apart from the wait that
	 * it asks for.
	 * @param operation the decoded operation, not null
	 * @return the time, never null
	 */
	public static Duration getMaxTime(CallerOperation operation) {
		return (operation instanceof CallerOperation.EndJob) ? MAX_APPEND_TIME : FRESH_STATE_WAIT;
	}

	/**
	 * Returns whether a request about a job needs no API key.
	 * @param operation the decoded operation, not null
	 * @return true if its job is known and was submitted without one
	 */
	public boolean isKeyless(CallerOperation operation) {
		return operation.job().flatMap(this.jobTable::find).filter((job) -> job.getWorkspace().isEmpty()).isPresent();
	}

	/**
	 * Handles a request about a job.
	 * @param exchange the request, not null
	 * @param operation the decoded operation, not null
	 * @param identity on whose behalf it is made; a job of another workspace does not
	 * exist for it; not null
	 * @throws IllegalArgumentException if the operation does not concern a job
	 */
	public void handle(CallerExchange exchange, CallerOperation operation, RequestIdentity identity) {
		switch (operation) {
			case CallerOperation.ReadResults read ->
				withJob(exchange, read.jobId(), identity, (job) -> readResults(exchange, job, read));
			case CallerOperation.ReadItem read ->
				withJob(exchange, read.jobId(), identity, (job) -> readItem(exchange, job, read));
			case CallerOperation.EndJob end -> withJob(exchange, end.jobId(), identity, (job) -> end(exchange, job));
			case CallerOperation.Routed routed -> throw new IllegalArgumentException("not an operation on a job");
		}
	}

	/**
	 * Responds to the requests that wait for a change of a job.
	 * @param job the job that changed, not null
	 */
	public void jobChanged(Job job) {
		this.submitter.jobChanged(job);
		List<ResultLongPoll> polls = this.longPolls.get(job.getId());
		if (polls != null) {
			polls.removeIf(ResultLongPoll::check);
		}
	}

	/**
	 * Limits the time of all requests about jobs, also of reads of results in progress,
	 * because the host shuts down.
	 * @param endMillis the monotonic time in milliseconds by which they must be answered
	 */
	public void limitTime(long endMillis) {
		this.answerEndMillis = endMillis;
		long waitMillis = endMillis - FRESH_STATE_WAIT.toMillis() - this.ticker.millis();
		this.loop.schedule(
				() -> this.longPolls.values().stream().flatMap(List::stream).toList().forEach(ResultLongPoll::finish),
				waitMillis, TimeUnit.MILLISECONDS);
	}

	private void withJob(CallerExchange exchange, JobId id, RequestIdentity identity, Consumer<Job> action) {
		Optional<Job> job = find(id, identity);
		if (job.isPresent() && this.follower.isListed()) {
			action.accept(job.get());
			return;
		}
		Runnable respond = () -> {
			if (!exchange.isEnded()) {
				find(id, identity).filter((found) -> this.follower.isListed())
					.ifPresentOrElse(action, () -> respondUnknownJob(exchange, id));
			}
		};
		whenCaughtUp(respond, respond);
	}

	private Optional<Job> find(JobId id, RequestIdentity identity) {
		return this.jobTable.find(id).filter((job) -> job.isAccessibleTo(identity));
	}

	private void whenCaughtUp(Runnable caughtUp, Runnable timedOut) {
		long waitMillis = Math.min(FRESH_STATE_WAIT.toMillis(), this.answerEndMillis - this.ticker.millis());
		this.follower.whenCaughtUp(Duration.ofMillis(Math.max(0, waitMillis)), caughtUp, timedOut);
	}

	private void respondUnknownJob(CallerExchange exchange, JobId id) {
		if (this.follower.getAgeMillis() <= MAX_STATE_AGE_MILLIS) {
			respond(exchange, 404, "no such job");
		}
		else {
			respondUncertain(exchange, id, "the job is not known");
		}
	}

	private void respondUncertain(CallerExchange exchange, JobId id, String cause) {
		if (!exchange.isEnded()) {
			LOG.log(GatewayEvent.JOB_STATE_UNCERTAIN, id, this.follower.getAgeMillis(), 503, cause,
					this.follower.isListed());
			exchange.respond(503, this.protocol.refusalHeaders(STORE_RETRY_AFTER_MILLIS), new byte[0]);
		}
	}

	private void readResults(CallerExchange exchange, Job job, CallerOperation.ReadResults read) {
		// A read without results may need the newest state at the end of its wait.
		long lastMillis = this.answerEndMillis - FRESH_STATE_WAIT.toMillis();
		long waitMillis = Math.min(read.waitMillis(), lastMillis - this.ticker.millis());
		ResultLongPoll poll = new ResultLongPoll(exchange, job, read, () -> respondResults(exchange, job, read));
		if (waitMillis <= 0) {
			poll.finish();
		}
		else if (!poll.check()) {
			this.longPolls.computeIfAbsent(job.getId(), (j) -> new ArrayList<>()).add(poll);
			this.loop.schedule(poll::finish, waitMillis, TimeUnit.MILLISECONDS);
		}
	}

	// A caller may have read a result at another host that this host has not read yet.
	private void respondResults(CallerExchange exchange, Job job, CallerOperation.ReadResults read) {
		if (isAnswerable(job, read)) {
			writeResults(exchange, job, read);
			return;
		}
		// The state that has been read may be as old as the time that the read took.
		Runnable respond = () -> {
			if (isAnswerable(job, read)) {
				writeResults(exchange, job, read);
			}
			else {
				respondUncertain(exchange, job.getId(), "no result from position " + read.from());
			}
		};
		whenCaughtUp(respond, respond);
	}

	private boolean isAnswerable(Job job, CallerOperation.ReadResults read) {
		return !job.getResults(read.from()).isEmpty() || (job.isDone() && !job.isEnded())
				|| this.follower.getAgeMillis() <= MAX_STATE_AGE_MILLIS;
	}

	private void writeResults(CallerExchange exchange, Job job, CallerOperation.ReadResults read) {
		if (!exchange.isEnded()) {
			exchange.respond(200, List.of(Map.entry("Content-Type", "application/json")),
					this.protocol.writeResults(job.getItemCount(), read.from(), job.getResults(read.from())));
		}
	}

	private void readItem(CallerExchange exchange, Job job, CallerOperation.ReadItem read) {
		Optional<SubmittedItem> item = job.findItem(read.item());
		if (item.isPresent() && job.isOpen(read.item()) && !job.isEnded()) {
			exchange.respond(200, List.of(Map.entry("Content-Type", "application/octet-stream")), item.get().body());
		}
		else {
			respond(exchange, 404, "no such item");
		}
	}

	private void end(CallerExchange exchange, Job job) {
		if (job.isEnded()) {
			respond(exchange, 200, "");
			return;
		}
		long waitMillis = this.answerEndMillis - this.ticker.millis();
		if (waitMillis <= 0) {
			exchange.respond(503, this.protocol.refusalHeaders(0), new byte[0]);
			return;
		}
		Future<?> timer = this.loop.schedule(() -> respondUncertainEnd(exchange, job), waitMillis,
				TimeUnit.MILLISECONDS);
		KeyedRecord record = JobRecords.writeEnd(job.getId());
		this.log.append(KeyedStream.OWN, List.of(record)).subscribe().with((offset) -> this.loop.execute(() -> {
			timer.cancel(false);
			LOG.log(GatewayEvent.JOB_ENDED, job.getId(), offset);
			respond(exchange, 200, "");
		}), (failure) -> this.loop.execute(() -> {
			timer.cancel(false);
			respondUncertainEnd(exchange, job);
		}));
	}

	private void respondUncertainEnd(CallerExchange exchange, Job job) {
		if (!exchange.isEnded()) {
			LOG.log(GatewayEvent.JOB_STATE_UNCERTAIN, job.getId(), this.follower.getAgeMillis(), 504,
					"the end of the job may not be stored", this.follower.isListed());
			respond(exchange, 504, "the end of the job may not be recorded");
		}
	}

	// Tells nothing of the job of the other workspace.
	static void respondUnusableId(CallerExchange exchange) {
		respond(exchange, 400, "the id of the job cannot be used");
	}

	static void respond(CallerExchange exchange, int status, String text) {
		exchange.respond(status, List.of(), text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Removes finished long polls.
	 */
	public void removeFinishedLongPolls() {
		this.longPolls.values().forEach((polls) -> polls.removeIf(ResultLongPoll::check));
		this.longPolls.values().removeIf(List::isEmpty);
	}

}
