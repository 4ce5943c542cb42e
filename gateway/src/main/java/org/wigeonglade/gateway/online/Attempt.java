package org.wigeonglade.gateway.online;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerProgress;
import org.wigeonglade.gateway.fleet.WorkKind;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RouteKind;
import org.wigeonglade.gateway.runner.ConnectionUse;
import org.wigeonglade.gateway.runner.RunnerCall;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.runner.RunnerRequest;
import org.wigeonglade.gateway.runner.RunnerResponseHead;
import org.wigeonglade.gateway.stream.StreamEvent;
import org.wigeonglade.gateway.stream.StreamParser;

/**
 * One attempt to serve an online request on a runner. Forwards the response to the caller
 * as it arrives, detects a stalled runner by timeouts, and reports its outcome at most
 * once. Confined to the event loop.
 */
final class Attempt implements RunnerCall.Listener {

	/**
	 * Timeout of the first event of a stream in milliseconds, after which a retryable
	 * request is retried on another runner. A runner with a free slot takes a few tens of
	 * milliseconds.
	 */
	private static final long FIRST_EVENT_TIMEOUT_MILLIS = 450;

	/**
	 * Timeout of the first event in milliseconds while all slots of the runner are in
	 * use. The queueing time varies by several times its mean, and a retry would start at
	 * the end of another queue.
	 */
	private static final long QUEUED_FIRST_EVENT_TIMEOUT_MILLIS = 1_200;

	/**
	 * Timeout between events of a stream in milliseconds, after which the stream is
	 * resumed on another runner: twice the pause between events that still counts as in
	 * time.
	 */
	private static final long STREAM_IDLE_TIMEOUT_MILLIS = 700;

	/** Timeout of a non-streaming response as a multiple of the latency target. */
	private static final double RESPONSE_TIMEOUT_FACTOR = 2.0;

	/**
	 * Time in milliseconds to read data that was already received when the timeout
	 * expired. Without it, a late timer, for example after the process was suspended,
	 * would abort an attempt whose runner did respond in time.
	 */
	private static final long TIMER_GRACE_MILLIS = 25;

	/**
	 * Largest non-streaming response in bytes that is buffered until it is complete.
	 */
	private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

	/**
	 * Interval in milliseconds at which the wait in the runner's queue is reviewed until
	 * the response starts. After this time the load reports of other hosts show the load
	 * of the runner, and an idle runner has responded.
	 */
	private static final long WAIT_REVIEW_INTERVAL_MILLIS = 40;

	/**
	 * Interval in milliseconds at which an attempt that has exceeded its timeout without
	 * an alternative is reviewed.
	 */
	private static final long CUT_OFF_CHECK_MILLIS = 250;

	private final OnlineContext context;

	private final Route route;

	private final CallerResponse callerResponse;

	private final Owner owner;

	private final RunnerEntry runner;

	private final long startedMillis;

	private final long expectedWaitMillis;

	private final RunnerProgress progress;

	private final StreamParser parser = new StreamParser();

	private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

	private RunnerCall call;

	private RunnerResponseHead head;

	private HttpHeaders headers;

	private boolean streaming;

	private boolean closed;

	private long lastProgressMillis;

	private ScheduledFuture<?> timer;

	private ScheduledFuture<?> reviewTimer;

	Attempt(OnlineContext context, Route route, CallerResponse callerResponse, Owner owner, RunnerEntry runner,
			long expectedWaitMillis) {
		this.context = context;
		this.route = route;
		this.callerResponse = callerResponse;
		this.owner = owner;
		this.runner = runner;
		this.startedMillis = context.ticker().millis();
		this.lastProgressMillis = this.startedMillis;
		this.expectedWaitMillis = expectedWaitMillis;
		this.progress = new RunnerProgress(context.fleet().getSpeeds(), WorkKind.EVENT,
				context.fleet().getLoadTracker().getLoad(runner.id()).getTotal() >= runner.slots(), this.startedMillis);
	}

	/**
	 * Sends the request. The attempt may have ended when this method returns.
	 * @param request the request, not null
	 */
	void start(RunnerRequest request) {
		RunnerCall started = RunnerCall.start(this.context.fleet(), this.runner, request, this);
		if (!this.closed) {
			this.call = started;
			scheduleTimeout(timeoutMillis());
			scheduleReview();
		}
	}

	/**
	 * Cancels the attempt without reporting an outcome.
	 */
	void cancel() {
		close();
		if (this.call != null) {
			this.call.cancel();
		}
	}

	/**
	 * Returns the runner.
	 * @return the process that responds, or the runner as placed before the request is
	 * sent
	 */
	RunnerEntry getRunner() {
		return (this.call != null) ? this.call.getRunner() : this.runner;
	}

	/**
	 * Returns whether the runner may have received the request.
	 * @return true if sending has started
	 */
	boolean isSent() {
		return this.call != null && this.call.isSent();
	}

	/**
	 * Returns where the response comes from.
	 * @return the use of the connection, never null
	 */
	ConnectionUse getConnectionUse() {
		return (this.call != null) ? this.call.getConnectionUse() : ConnectionUse.NONE;
	}

	/**
	 * Returns the time since the attempt was created.
	 * @return the time in milliseconds
	 */
	long getElapsedMillis() {
		return this.context.ticker().millis() - this.startedMillis;
	}

	/**
	 * Returns the estimated time for which the request occupied a slot: the elapsed time
	 * without the expected wait.
	 * @return the time in milliseconds, at least 1
	 */
	long getHoldMillis() {
		return Math.max(1, getElapsedMillis() - this.expectedWaitMillis);
	}

	@Override
	public void head(RunnerResponseHead receivedHead, HttpHeaders receivedHeaders) {
		this.reviewTimer.cancel(false);
		this.head = receivedHead;
		this.headers = receivedHeaders;
		this.streaming = this.route.getKind() == RouteKind.STREAM && receivedHead.isSuccess();
	}

	@Override
	public void content(byte[] bytes) {
		if (this.streaming) {
			forwardEvents(bytes);
			return;
		}
		if (this.head.isSuccess()) {
			this.lastProgressMillis = this.context.ticker().millis();
		}
		this.buffered.write(bytes, 0, bytes.length);
		if (this.head.isSuccess()
				&& (this.callerResponse.isCommitted() || this.buffered.size() > MAX_BUFFERED_RESPONSE_BYTES)) {
			this.callerResponse.writeBytes(this.buffered.toByteArray(), this.head, this.headers, this.call);
			this.buffered.reset();
		}
	}

	@Override
	public void end() {
		if (this.head.notRun() || this.head.wrongRunner()) {
			if (!this.head.wrongRunner() && !this.head.leaving()) {
				this.progress.refused(getRunner(), this.context.ticker().millis());
			}
			finish(new AttemptOutcome.Declined(this.head));
		}
		else if (!this.head.isSuccess()) {
			finish(new AttemptOutcome.RunnerError(this.head, this.headers, this.buffered.toByteArray()));
		}
		else if (this.streaming && !this.parser.mayEnd(this.head.delimited())) {
			finish(incomplete(RunnerFailure.Kind.BROKEN, "the stream ended within an event or before the first"));
		}
		else {
			if (!this.streaming) {
				this.progress.responseReceived(getRunner(), this.context.ticker().millis());
			}
			if (this.buffered.size() > 0) {
				this.callerResponse.writeBytes(this.buffered.toByteArray(), this.head, this.headers, null);
			}
			finish(this.callerResponse.complete(this.head, this.headers)
					? new AttemptOutcome.Completed(this.head.status())
					: incomplete(RunnerFailure.Kind.MALFORMED, "the body does not have the length in its head"));
		}
	}

	@Override
	public void failed(RunnerFailure failure) {
		finish(new AttemptOutcome.Incomplete(failure));
	}

	private void forwardEvents(byte[] bytes) {
		List<StreamEvent> events;
		try {
			events = this.parser.add(bytes);
		}
		catch (IllegalStateException ex) {
			abort(RunnerFailure.Kind.BROKEN, ex.getMessage());
			return;
		}
		if (events.stream().anyMatch(StreamEvent::hasContent)) {
			this.lastProgressMillis = this.context.ticker().millis();
			this.progress.eventsReceived(getRunner(), this.call.isReadingPaused(),
					(int) events.stream().filter(StreamEvent::hasContent).count(), this.lastProgressMillis);
			this.owner.eventsReceived(this);
		}
		Optional<String> sequenceError = this.callerResponse.writeEvents(events, this.head, this.headers, this.call);
		sequenceError.ifPresent((reason) -> abort(RunnerFailure.Kind.BROKEN, reason));
	}

	private void abort(RunnerFailure.Kind kind, String reason) {
		RunnerFailure.Kind effective = isSent() ? kind : RunnerFailure.Kind.UNREACHABLE;
		if (this.call != null) {
			this.call.cancel();
		}
		finish(incomplete(effective, reason));
	}

	private void finish(AttemptOutcome outcome) {
		if (!this.closed) {
			close();
			this.owner.attemptEnded(this, outcome);
		}
	}

	private void close() {
		this.closed = true;
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
		if (this.reviewTimer != null) {
			this.reviewTimer.cancel(false);
		}
	}

	private void scheduleReview() {
		this.reviewTimer = this.context.loop().schedule(() -> {
			this.owner.reviewWait(this);
			scheduleReview();
		}, WAIT_REVIEW_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static AttemptOutcome incomplete(RunnerFailure.Kind kind, String reason) {
		return new AttemptOutcome.Incomplete(new RunnerFailure(kind, reason));
	}

	private long timeoutMillis() {
		if (this.route.getKind() != RouteKind.STREAM) {
			return Math.round(this.route.getLatencyTarget().toMillis() * RESPONSE_TIMEOUT_FACTOR)
					+ this.expectedWaitMillis;
		}
		if (this.lastProgressMillis > this.startedMillis) {
			return STREAM_IDLE_TIMEOUT_MILLIS;
		}
		boolean full = this.context.fleet().getLoadTracker().getLoad(this.runner.id()).getTotal() > this.runner.slots();
		boolean suspected = this.context.fleet().isAvoided(this.runner);
		return (full && !suspected) ? QUEUED_FIRST_EVENT_TIMEOUT_MILLIS : FIRST_EVENT_TIMEOUT_MILLIS;
	}

	private void scheduleTimeout(long millis) {
		this.timer = this.context.loop().schedule(this::checkTimeout, millis, TimeUnit.MILLISECONDS);
	}

	private void checkTimeout() {
		if (this.callerResponse.isBlocked()) {
			// The runner is not silent: its response is not read.
			this.lastProgressMillis = this.context.ticker().millis();
		}
		long remaining = this.lastProgressMillis + timeoutMillis() - this.context.ticker().millis();
		if (remaining > 0) {
			scheduleTimeout(remaining);
			return;
		}
		long progressAtTimeout = this.lastProgressMillis;
		this.timer = this.context.loop().schedule(() -> {
			if (this.lastProgressMillis > progressAtTimeout) {
				checkTimeout();
			}
			else if (mayAbandonSilentRunner()) {
				abortSilent();
			}
			else {
				scheduleCutOffCheck();
			}
		}, TIMER_GRACE_MILLIS, TimeUnit.MILLISECONDS);
	}

	// An attempt without an alternative has one when it turns out that this host has lost
	// its way to the runners.
	private void scheduleCutOffCheck() {
		this.timer = this.context.loop().schedule(() -> {
			if (this.context.ticker().millis() - this.lastProgressMillis < CUT_OFF_CHECK_MILLIS) {
				checkTimeout();
			}
			else if (this.context.fleet().isCutOff() && !this.call.isRelayed() && this.owner.mayAbandon(this)) {
				abortSilent();
			}
			else {
				scheduleCutOffCheck();
			}
		}, CUT_OFF_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void abortSilent() {
		this.progress.timedOut(getRunner(),
				(this.route.getKind() == RouteKind.STREAM) ? WorkKind.FIRST_EVENT : WorkKind.RESPONSE,
				this.context.ticker().millis());
		abort(RunnerFailure.Kind.SILENT,
				"no data received for " + (this.context.ticker().millis() - this.lastProgressMillis) + " ms");
	}

	private boolean mayAbandonSilentRunner() {
		this.call.recordSilence();
		return this.owner.mayAbandon(this);
	}

	/**
	 * The request that an attempt belongs to.
	 */
	interface Owner {

		/**
		 * Called once when an attempt ends, unless it was cancelled.
		 * @param attempt the attempt, not null
		 * @param outcome the outcome, not null
		 */
		void attemptEnded(Attempt attempt, AttemptOutcome outcome);

		/**
		 * Called before events of a stream are forwarded to the caller.
		 * @param attempt the attempt, not null
		 */
		void eventsReceived(Attempt attempt);

		/**
		 * Called periodically while an attempt has received no response, so that the
		 * owner can request preemptions.
		 * @param attempt the attempt, not null
		 */
		void reviewWait(Attempt attempt);

		/**
		 * Decides whether an attempt whose timeout has expired is aborted. Called again
		 * for an attempt that continues only while this host is cut off from the runners.
		 * @param attempt the attempt, not null
		 * @return false to wait until the deadline of the request
		 */
		boolean mayAbandon(Attempt attempt);

	}

}
