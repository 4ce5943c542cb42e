package org.wigeonglade.gateway.online;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.Demand;
import org.wigeonglade.gateway.fleet.LoadBoard;
import org.wigeonglade.gateway.fleet.Placement;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.http.HopHeaders;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RouteKind;
import org.wigeonglade.gateway.runner.RunnerAnswer;
import org.wigeonglade.gateway.runner.RunnerCall;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.runner.RunnerRequest;
import org.wigeonglade.gateway.stream.StreamEvent;
import org.wigeonglade.gateway.stream.StreamParser;

/**
 * The course of one online request from its arrival to its final answer. Confined to the
 * event loop.
 */
public final class OnlineRequest {

	private static final EventLogger LOG = EventLogger.of(OnlineRequest.class);

	/**
	 * Silence before the first event, beyond the expected wait, after which a stream that
	 * may be repeated is sent to another runner, in milliseconds: a runner takes a few
	 * tens.
	 */
	private static final long FIRST_EVENT_PATIENCE_MILLIS = 450;

	/**
	 * The same while the runner's slots are all taken, in milliseconds: the wait in its
	 * queue varies by several times its mean, and a second send would start at the end of
	 * another queue.
	 */
	private static final long QUEUED_PATIENCE_MILLIS = 1_200;

	/**
	 * Silence within a stream after which it goes on at another runner, in milliseconds:
	 * twice the pause that still counts as in time.
	 */
	private static final long PAUSE_PATIENCE_MILLIS = 700;

	/** Silence before a whole answer as a multiple of the latency target. */
	private static final double ANSWER_PATIENCE = 2.0;

	/**
	 * Time in milliseconds that received bytes have to be read after a timer fired late,
	 * as when the process was suspended.
	 */
	private static final long TIMER_GRACE_MILLIS = 25;

	/** Largest whole answer in bytes that is kept until it is complete. */
	private static final int MAX_KEPT_ANSWER_BYTES = 64 * 1024;

	/**
	 * Part of the caller's usual time below which it must have been here before: the way
	 * to this host takes a few milliseconds.
	 */
	private static final double FIRST_VISIT_SHARE = 0.97;

	private final OnlineContext context;

	private final CallerExchange exchange;

	private final Route route;

	private final ServiceName service;

	private final String id;

	private final HttpHeaders headers;

	private final RetryRule rule;

	private final Set<RunnerId> tried = new HashSet<>();

	private final long deadlineMillis;

	private final long targetMillis;

	private final boolean firstVisit;

	private final long fingerprint;

	private OptionalLong lastEvent;

	private RunnerCall call;

	private boolean freshConnection;

	private Attempt attempt;

	private ScheduledFuture<?> deadlineTimer;

	private long firstAnswerMillis = -1;

	private RunnerEntry lastRunner;

	private RunnerAnswer lastFailure;

	private HttpHeaders lastFailureHeaders;

	private byte[] lastFailureBody;

	private OnlineRequest(OnlineContext context, CallerExchange exchange, Route route) {
		this.context = context;
		this.exchange = exchange;
		this.route = route;
		HttpHeaders received = exchange.getRequest().headers();
		this.id = context.protocol().requestId(received).orElse("");
		this.service = route.chooseService(this.id);
		this.headers = new DefaultHttpHeaders().set(received);
		HopHeaders.strip(this.headers);
		this.rule = new RetryRule(route);
		long timeout = route.getTimeout().toMillis();
		long wait = Math.min(timeout, context.protocol().waitMillis(received).orElse(timeout));
		this.deadlineMillis = exchange.getArrivedMillis() + wait;
		this.targetMillis = exchange.getArrivedMillis() + route.getLatencyTarget().toMillis() - (timeout - wait);
		this.firstVisit = wait >= timeout * FIRST_VISIT_SHARE;
		this.lastEvent = context.protocol().resumeAfter(received);
		this.fingerprint = Hashing.murmur3_128()
			.newHasher()
			.putString(exchange.getRequest().uri(), StandardCharsets.UTF_8)
			.putBytes(exchange.getBody())
			.hash()
			.asLong();
	}

	/**
	 * Starts to serve a request.
	 * @param context what requests share, not null
	 * @param exchange the request, not null
	 * @param route its route, not null
	 */
	public static void start(OnlineContext context, CallerExchange exchange, Route route) {
		OnlineRequest request = new OnlineRequest(context, exchange, route);
		exchange.onGone(request::callerLeft);
		long left = request.deadlineMillis - context.ticker().millis();
		request.deadlineTimer = context.loop()
			.schedule(request::deadlinePassed, Math.max(0, left), TimeUnit.MILLISECONDS);
		request.next();
	}

	private void next() {
		if (this.context.crashes().isQuarantined(this.fingerprint)) {
			LOG.log(GatewayEvent.QUARANTINED, this.id, Long.toHexString(this.fingerprint),
					this.context.crashes().getLostRunners(this.fingerprint));
			end(this.rule.isNotRun() ? 503 : 502, "quarantined", -1);
			return;
		}
		long now = this.context.ticker().millis();
		List<Candidate> candidates = this.context.fleet().candidates(this.service, this.tried);
		Demand demand = new Demand(Duration.ofMillis(this.targetMillis - now),
				Duration.ofMillis(this.deadlineMillis - now),
				this.firstVisit && this.rule.isNotRun() && !this.exchange.isHeadWritten());
		switch (this.context.policy().place(candidates, demand)) {
			case Placement.Send send -> {
				logPlaced(send);
				send(send.runner(), send.expectedWait().toMillis());
			}
			case Placement.Refuse refusal -> refuse(refusal, candidates);
		}
	}

	private void send(RunnerEntry runner, long expectedWaitMillis) {
		this.lastRunner = runner;
		long now = this.context.ticker().millis();
		RunnerRequest request = new RunnerRequest(this.id, this.exchange.getRequest().method(),
				this.exchange.getRequest().uri(), this.headers, this.exchange.getBody(),
				Duration.ofMillis(Math.max(1, this.deadlineMillis - now)), this.lastEvent, false, this.freshConnection);
		this.attempt = new Attempt(runner, now, expectedWaitMillis);
		Attempt current = this.attempt;
		RunnerCall started = RunnerCall.start(this.context.fleet(), runner, request, current);
		if (this.attempt == current && !this.exchange.isEnded()) {
			this.call = started;
			current.watch();
		}
	}

	private void refuse(Placement.Refuse refusal, List<Candidate> candidates) {
		if (!this.rule.isNotRun()) {
			failFinally("no further runner: " + refusal.cause());
			return;
		}
		long now = this.context.ticker().millis();
		long retryMillis = Math.min(refusal.retryAfter().toMillis(), (this.deadlineMillis - now) / 3);
		int occupancy = candidates.stream().mapToInt((c) -> c.load().getTotal()).sum();
		long avoided = candidates.stream().filter(Candidate::avoided).count();
		int slots = candidates.stream().mapToInt((c) -> c.entry().slots()).sum();
		LOG.log(GatewayEvent.REFUSED, this.id, this.route.getName(), refusal.cause(), 503, candidates.size(), avoided,
				occupancy, slots, retryMillis, now - this.exchange.getArrivedMillis(), configVersion());
		this.context.metrics().request("refused");
		end(503, null, Math.max(0, retryMillis));
	}

	// An attempt ended without a usable answer; its run is already recorded in the rule.
	private void tryAgainOrFail(String reason) {
		this.call = null;
		this.attempt = null;
		if (this.exchange.isEnded()) {
			return;
		}
		if (this.rule.mayTryAgain() && this.context.ticker().millis() < this.deadlineMillis) {
			next();
		}
		else {
			failFinally(reason);
		}
	}

	private void failFinally(String reason) {
		if (this.exchange.isHeadWritten()) {
			end(0, reason, -1);
		}
		else if (this.lastFailure != null) {
			LOG.log(GatewayEvent.FAILED, this.id, this.route.getName(), runnerName(), this.lastFailure.status(), reason,
					this.rule.getAttempts(), elapsed(), lastEventNumber());
			this.context.metrics().request("runner_failure");
			this.exchange.begin(this.lastFailure.status(), this.lastFailureHeaders);
			if (this.lastFailureBody.length > 0) {
				this.exchange.write(this.lastFailureBody);
			}
			this.exchange.complete();
			finish();
		}
		else if (this.rule.isNotRun()) {
			end(503, reason, 0);
		}
		else {
			end(502, reason, -1);
		}
	}

	// Status 0 closes the connection, because the answer has begun.
	private void end(int status, String reason, long retryMillis) {
		if (reason != null) {
			LOG.log(GatewayEvent.FAILED, this.id, this.route.getName(), runnerName(), status, reason,
					this.rule.getAttempts(), elapsed(), lastEventNumber());
			this.context.metrics().request((status == 0) ? "cut" : "failed_" + status);
		}
		if (status == 0) {
			this.exchange.abort();
		}
		else {
			this.exchange.respond(status, this.context.protocol().refusalHeaders(retryMillis), new byte[0]);
		}
		finish();
	}

	private void deadlinePassed() {
		if (this.exchange.isEnded()) {
			return;
		}
		if (this.call != null && this.call.isSent()) {
			this.rule.recordRun();
		}
		String reason = "the deadline passed";
		if (this.exchange.isHeadWritten()) {
			end(0, reason, -1);
		}
		else {
			end(this.rule.isNotRun() ? 503 : 504, reason, -1);
		}
	}

	private void callerLeft() {
		LOG.log(GatewayEvent.CALLER_LEFT, this.id, this.route.getName(), runnerName(), elapsed(), lastEventNumber());
		this.context.metrics().request("caller_left");
		finish();
	}

	private void finish() {
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		if (this.attempt != null) {
			this.attempt.stopWatching();
		}
		if (this.call != null) {
			this.call.cancel();
		}
		this.call = null;
		this.attempt = null;
	}

	private void answered(int status, boolean served) {
		LOG.log(GatewayEvent.ANSWERED, this.id, this.route.getName(), runnerName(), status,
				this.rule.getAttempts() + (served ? 1 : 0), this.firstAnswerMillis, elapsed(), lastEventNumber());
		this.context.metrics().request("answered");
		this.context.metrics().firstAnswer(Math.max(0, this.firstAnswerMillis));
		finish();
	}

	private void logPlaced(Placement.Send send) {
		RunnerId runner = send.runner().id();
		LoadBoard.Load load = this.context.fleet().getBoard().getLoad(runner);
		long reportAge = this.context.fleet().getBoard().getOldestReportAge(this.context.ticker().millis());
		String victims = (send.preemptions() > 0) ? this.context.preemptor().preempt(send.runner(), send.preemptions())
				: null;
		LOG.log(GatewayEvent.PLACED, this.id, this.route.getName(), this.service, runner, this.rule.getAttempts() + 1,
				load.online(), load.batch(), send.runner().slots(), send.expectedWait().toMillis(), victims, reportAge,
				configVersion());
	}

	private long configVersion() {
		return this.context.fleet().getTable().getVersion();
	}

	private String runnerName() {
		return (this.lastRunner != null) ? this.lastRunner.id().value() : null;
	}

	private long elapsed() {
		return this.context.ticker().millis() - this.exchange.getArrivedMillis();
	}

	private Long lastEventNumber() {
		return this.lastEvent.isPresent() ? this.lastEvent.getAsLong() : null;
	}

	/**
	 * One send and what came of it.
	 */
	private final class Attempt implements RunnerCall.Listener {

		private final RunnerEntry runner;

		private final long startedMillis;

		private final long expectedWaitMillis;

		private final StreamParser parser = new StreamParser();

		private final ByteArrayOutputStream kept = new ByteArrayOutputStream();

		private RunnerAnswer answer;

		private HttpHeaders answerHeaders;

		private long progressMillis;

		private boolean streaming;

		private ScheduledFuture<?> timer;

		private Attempt(RunnerEntry runner, long startedMillis, long expectedWaitMillis) {
			this.runner = runner;
			this.startedMillis = startedMillis;
			this.expectedWaitMillis = expectedWaitMillis;
			this.progressMillis = startedMillis;
		}

		@Override
		public void head(RunnerAnswer head, HttpHeaders received) {
			this.answer = head;
			this.answerHeaders = received;
			this.streaming = OnlineRequest.this.route.getKind() == RouteKind.STREAM && head.isSuccess();
		}

		@Override
		public void content(byte[] bytes) {
			this.progressMillis = now();
			if (this.streaming) {
				passEvents(bytes);
				return;
			}
			this.kept.write(bytes, 0, bytes.length);
			if (this.answer.isSuccess()
					&& (OnlineRequest.this.exchange.isHeadWritten() || this.kept.size() > MAX_KEPT_ANSWER_BYTES)) {
				passBytes(this.kept.toByteArray());
				this.kept.reset();
			}
		}

		@Override
		public void end() {
			stopWatching();
			if (this.answer.notRun() || this.answer.wrongRunner()) {
				refusedByRunner();
			}
			else if (this.streaming) {
				endStream();
			}
			else if (this.answer.isSuccess()) {
				endWhole();
			}
			else {
				endFailure();
			}
		}

		@Override
		public void failed(RunnerFailure failure) {
			stopWatching();
			boolean notRun = failure.isNotRun();
			Long avoided = judge(failure);
			LOG.log(GatewayEvent.ATTEMPT_FAILED, OnlineRequest.this.id, this.runner.id(),
					OnlineRequest.this.rule.getAttempts() + 1, failure.kind(), failure.reason(),
					now() - this.startedMillis, lastEventNumber(), notRun, avoided);
			OnlineRequest.this.context.metrics().attempt(failure.kind().name());
			if (failure.kind() == RunnerFailure.Kind.STALE_CONNECTION) {
				OnlineRequest.this.freshConnection = true;
			}
			else {
				OnlineRequest.this.tried.add(this.runner.id());
			}
			if (notRun) {
				OnlineRequest.this.rule.recordNotRun();
			}
			else {
				OnlineRequest.this.rule.recordRun();
				if (failure.kind() == RunnerFailure.Kind.BROKEN) {
					reportCrash();
				}
			}
			tryAgainOrFail(failure.kind() + ": " + failure.reason());
		}

		private Long judge(RunnerFailure failure) {
			return switch (failure.kind()) {
				case STALE_CONNECTION, NO_CONNECTION -> null;
				case UNREACHABLE, BROKEN, SILENT -> avoid(failure.kind().name());
			};
		}

		private long avoid(String kind) {
			long until = OnlineRequest.this.context.fleet().getHealth().failed(this.runner.id(), now());
			LOG.log(GatewayEvent.RUNNER_AVOIDED, this.runner.id(), until - now(), kind);
			return until - now();
		}

		private void reportCrash() {
			if (OnlineRequest.this.context.crashes()
				.add(OnlineRequest.this.fingerprint, this.runner.id(), this.runner.startedMillis(), now())) {
				OnlineRequest.this.context.preemptor().reportCrash(OnlineRequest.this.fingerprint, this.runner);
			}
		}

		private void refusedByRunner() {
			if (this.answer.wrongRunner()) {
				avoid("WRONG_RUNNER");
			}
			LOG.log(GatewayEvent.ATTEMPT_FAILED, OnlineRequest.this.id, this.runner.id(),
					OnlineRequest.this.rule.getAttempts() + 1, "REFUSED_BY_RUNNER", "status " + this.answer.status(),
					now() - this.startedMillis, lastEventNumber(), true, null);
			OnlineRequest.this.context.metrics().attempt("REFUSED_BY_RUNNER");
			OnlineRequest.this.tried.add(this.runner.id());
			OnlineRequest.this.rule.recordNotRun();
			tryAgainOrFail("the runner refused with status " + this.answer.status());
		}

		private void passEvents(byte[] bytes) {
			List<StreamEvent> events;
			try {
				events = this.parser.add(bytes);
			}
			catch (IllegalStateException ex) {
				breakOff(ex.getMessage());
				return;
			}
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			for (StreamEvent event : events) {
				if (event.id() >= 0) {
					if (OnlineRequest.this.lastEvent.isPresent()
							&& event.id() != OnlineRequest.this.lastEvent.getAsLong() + 1) {
						write(output);
						breakOff("event " + event.id() + " follows event " + OnlineRequest.this.lastEvent.getAsLong());
						return;
					}
					OnlineRequest.this.lastEvent = OptionalLong.of(event.id());
				}
				output.writeBytes(event.bytes());
			}
			write(output);
		}

		private void write(ByteArrayOutputStream output) {
			if (output.size() > 0) {
				passBytes(output.toByteArray());
			}
		}

		private void passBytes(byte[] bytes) {
			CallerExchange caller = OnlineRequest.this.exchange;
			if (!caller.isHeadWritten()) {
				OnlineRequest.this.firstAnswerMillis = elapsed();
				caller.begin(this.answer.status(), this.answerHeaders);
			}
			caller.write(bytes);
			RunnerCall reader = OnlineRequest.this.call;
			if (reader != null && !caller.isWritable()) {
				reader.setReading(false);
				caller.onWritable(() -> reader.setReading(true));
			}
		}

		private void breakOff(String reason) {
			if (OnlineRequest.this.call != null) {
				OnlineRequest.this.call.cancel();
			}
			failed(new RunnerFailure(RunnerFailure.Kind.BROKEN, reason));
		}

		private void endStream() {
			if (this.parser.isInsideEvent()) {
				failed(new RunnerFailure(RunnerFailure.Kind.BROKEN, "the stream ended in the middle of an event"));
				return;
			}
			succeed();
			if (!OnlineRequest.this.exchange.isHeadWritten()) {
				OnlineRequest.this.exchange.begin(this.answer.status(), this.answerHeaders);
			}
			OnlineRequest.this.exchange.complete();
			answered(this.answer.status(), true);
		}

		private void endWhole() {
			succeed();
			if (!OnlineRequest.this.exchange.isHeadWritten()) {
				OnlineRequest.this.firstAnswerMillis = elapsed();
				OnlineRequest.this.exchange.begin(this.answer.status(), this.answerHeaders);
			}
			if (this.kept.size() > 0) {
				OnlineRequest.this.exchange.write(this.kept.toByteArray());
			}
			OnlineRequest.this.exchange.complete();
			answered(this.answer.status(), true);
		}

		private void endFailure() {
			OnlineRequest.this.rule.recordRun();
			OnlineRequest.this.tried.add(this.runner.id());
			boolean success = this.answer.status() / 100 == 2;
			LOG.log(GatewayEvent.ATTEMPT_FAILED, OnlineRequest.this.id, this.runner.id(),
					OnlineRequest.this.rule.getAttempts(), "ANSWER",
					success ? "success without signature" : "status " + this.answer.status(),
					now() - this.startedMillis, lastEventNumber(), false, null);
			OnlineRequest.this.context.metrics().attempt("STATUS_" + this.answer.status());
			if (!success) {
				OnlineRequest.this.lastFailure = this.answer;
				OnlineRequest.this.lastFailureHeaders = this.answerHeaders;
				OnlineRequest.this.lastFailureBody = this.kept.toByteArray();
			}
			if (this.answer.status() >= 500) {
				avoid("STATUS_" + this.answer.status());
				tryAgainOrFail("the runner answered status " + this.answer.status());
			}
			else {
				OnlineRequest.this.call = null;
				failFinally("the runner answered status " + this.answer.status());
			}
		}

		private void succeed() {
			OnlineRequest.this.call = null;
			OnlineRequest.this.context.fleet().getHealth().succeeded(this.runner.id());
			OnlineRequest.this.context.fleet()
				.addHold(this.runner,
						Duration.ofMillis(Math.max(1, now() - this.startedMillis - this.expectedWaitMillis)));
			OnlineRequest.this.context.metrics().attempt("ANSWERED");
		}

		private void watch() {
			this.timer = OnlineRequest.this.context.loop()
				.schedule(this::checkSilence, patience(), TimeUnit.MILLISECONDS);
		}

		private void stopWatching() {
			if (this.timer != null) {
				this.timer.cancel(false);
				this.timer = null;
			}
		}

		private long patience() {
			if (OnlineRequest.this.route.getKind() != RouteKind.STREAM) {
				return Math.round(OnlineRequest.this.route.getLatencyTarget().toMillis() * ANSWER_PATIENCE)
						+ this.expectedWaitMillis;
			}
			if (this.progressMillis > this.startedMillis) {
				return PAUSE_PATIENCE_MILLIS;
			}
			boolean full = OnlineRequest.this.context.fleet()
				.getBoard()
				.getLoad(this.runner.id())
				.getTotal() > this.runner.slots();
			boolean suspected = OnlineRequest.this.context.fleet().isAvoided(this.runner);
			return (full && !suspected) ? QUEUED_PATIENCE_MILLIS : FIRST_EVENT_PATIENCE_MILLIS;
		}

		private void checkSilence() {
			long left = this.progressMillis + patience() - now();
			if (left > 0) {
				this.timer = OnlineRequest.this.context.loop()
					.schedule(this::checkSilence, left, TimeUnit.MILLISECONDS);
				return;
			}
			long seen = this.progressMillis;
			this.timer = OnlineRequest.this.context.loop().schedule(() -> {
				if (this.progressMillis == seen) {
					giveUpSilent();
				}
				else {
					checkSilence();
				}
			}, TIMER_GRACE_MILLIS, TimeUnit.MILLISECONDS);
		}

		// A request that must not run twice keeps waiting, but others avoid the runner.
		private void giveUpSilent() {
			boolean repeatable = OnlineRequest.this.route.isRepeatable()
					&& OnlineRequest.this.rule.getAttempts() + 1 < OnlineRequest.this.route.getMaxAttempts();
			boolean elsewhere = repeatable && OnlineRequest.this.context.fleet()
				.candidates(OnlineRequest.this.service, OnlineRequest.this.tried)
				.stream()
				.anyMatch((c) -> !c.avoided() && !c.entry().id().equals(this.runner.id()));
			if (!elsewhere) {
				avoid("SILENT");
				this.timer = null;
				return;
			}
			OnlineRequest.this.call.cancel();
			failed(new RunnerFailure(RunnerFailure.Kind.SILENT,
					"no byte for " + (now() - this.progressMillis) + " ms"));
		}

		private long now() {
			return OnlineRequest.this.context.ticker().millis();
		}

	}

}
