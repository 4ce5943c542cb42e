package org.wigeonglade.entry.online;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.retry.Suspicion;

/**
 * One answer in progress, over all its attempts. Runs on one event loop.
 */
final class OnlineStream implements StreamHandle, Attempt.Listener {

	private static final EventLogger LOG = EventLogger.of(OnlineStream.class);

	private final OnlineParts parts;

	private final OnlineRequest request;

	private final ServiceAdmission admission;

	private final StreamSink sink;

	private final List<String> tokens = new ArrayList<>();

	private final Set<UpstreamId> failedOn = new HashSet<>();

	private Phase phase = Phase.HELD;

	private Attempt attempt;

	private int attempts;

	private ExecutionState earlier = ExecutionState.NOT_RUN;

	private boolean alone;

	private boolean written;

	private boolean paused;

	private long timer = -1;

	private long lastEventNanos;

	private long firstTokenNanos;

	private int firstTokenIndex;

	OnlineStream(OnlineParts parts, OnlineRequest request, ServiceAdmission admission, StreamSink sink) {
		this.parts = parts;
		this.request = request;
		this.admission = admission;
		this.sink = sink;
	}

	OnlineRequest getRequest() {
		return this.request;
	}

	ServiceAdmission getAdmission() {
		return this.admission;
	}

	Set<UpstreamId> getFailedOn() {
		return this.failedOn;
	}

	boolean isDone() {
		return this.phase == Phase.DONE;
	}

	boolean isHeld() {
		return this.phase == Phase.HELD;
	}

	boolean isAlone() {
		return this.alone;
	}

	long getRemainingMillis() {
		return Math.max(0, (this.request.deadlineNanos() - this.parts.ticker().nanos()) / 1_000_000L);
	}

	// Goes on after the check for suspects.
	void proceed(boolean runAlone) {
		if (isDone()) {
			return;
		}
		this.alone = runAlone;
		this.phase = Phase.QUEUED;
		if (runAlone) {
			this.parts.isolation().submit(this);
		}
		else {
			this.admission.submit(this, this.attempts > 0);
		}
	}

	// Waits in the queue; the wait is limited.
	void queued(long limitMillis) {
		record(AccountCode.QUEUED, Map.of("limit_ms", Long.toString(limitMillis)));
		cancelTimer();
		this.timer = this.parts.loop().schedule(limitMillis, this::waitedTooLong);
	}

	void start(RunnerState runner) {
		cancelTimer();
		if (isDone()) {
			return;
		}
		this.phase = Phase.RUNNING;
		this.attempts++;
		this.firstTokenIndex = this.tokens.size();
		runner.beginOnline();
		this.parts.arrivals().changed(runner);
		long now = this.parts.ticker().nanos();
		this.lastEventNanos = now;
		this.attempt = new Attempt(this.parts.loop(), this, runner, this.tokens.size(), now);
		if (this.paused) {
			this.attempt.pause();
		}
		this.written = true;
		record(startCode(), Map.of("upstream", runner.getMember().id().value(), "attempt",
				Integer.toString(this.attempts), "tokens", Integer.toString(this.tokens.size())));
		this.attempt.start(toEngineRequest(), false);
	}

	// Ends the answer with a refusal; nothing ran unless an attempt was made.
	void refused(RefusedException refusal) {
		if (this.attempts == 0) {
			finish(refusal);
		}
		else {
			finish(new UpstreamException(refusal.getCode(), ran(), false,
					refusal.getMessage() + "; an earlier attempt was lost", null));
		}
	}

	// Ends the answer because its fingerprint is quarantined.
	void quarantined(Suspicion suspicion) {
		String message = "the request is quarantined: " + suspicion.reason();
		finish((this.attempts == 0) ? new RefusedException(ErrorCode.QUARANTINED, message, null)
				: new UpstreamException(ErrorCode.QUARANTINED, ExecutionState.RAN, false, message, null));
	}

	/**
	 * Stops the attempt in progress, so that the request can run again later.
	 * @return whether it was stopped; a request that must not be repeated goes on
	 */
	boolean recall() {
		if (isDone() || (this.written && !this.request.profile().getIdempotent())) {
			return false;
		}
		withdraw();
		this.phase = Phase.HELD;
		return true;
	}

	// Ends the answer if its deadline passed or its runner has fallen silent.
	void check(long nowNanos, long stallNanos) {
		if (isDone()) {
			return;
		}
		if (nowNanos - this.request.deadlineNanos() >= 0) {
			finish((this.attempts == 0)
					? new RefusedException(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed while the request waited",
							Duration.ofSeconds(1))
					: new UpstreamException(ErrorCode.DEADLINE_EXCEEDED, ran(), false,
							"the deadline passed before the answer was complete", null));
			return;
		}
		Attempt current = this.attempt;
		if (current != null && !this.paused && nowNanos - this.lastEventNanos > stallNanos) {
			current.cancel();
			onFailure(current, new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.UNKNOWN, false,
					"the runner sent nothing for " + stallNanos / 1_000_000L + " ms", null));
		}
	}

	@Override
	public void pause() {
		this.parts.loop().execute(() -> {
			this.paused = true;
			if (this.attempt != null) {
				this.attempt.pause();
			}
		});
	}

	@Override
	public void resume() {
		this.parts.loop().execute(() -> {
			this.paused = false;
			this.lastEventNanos = this.parts.ticker().nanos();
			if (this.attempt != null) {
				this.attempt.resume();
			}
		});
	}

	@Override
	public void cancel() {
		this.parts.loop().execute(() -> finish(null));
	}

	@Override
	public void onToken(Attempt source, EngineEvent.Token token) {
		if (source != this.attempt) {
			return;
		}
		long now = this.parts.ticker().nanos();
		this.lastEventNanos = now;
		if (this.tokens.size() == this.firstTokenIndex) {
			this.firstTokenNanos = now;
		}
		this.tokens.add(token.text());
		this.sink.onToken(token);
	}

	@Override
	public void onEnd(Attempt source, EngineEvent.End end) {
		if (source != this.attempt) {
			return;
		}
		long now = this.parts.ticker().nanos();
		source.getRunner().answered(firstTokenRatio(source), interTokenRatio(now), now);
		leaveRunner();
		this.phase = Phase.DONE;
		cancelTimer();
		this.parts.active().remove(this);
		this.parts.suspects().succeeded(this);
		this.admission.succeeded(this.request.profile());
		this.sink.onEnd(end);
	}

	@Override
	public void onFailure(Attempt source, UpstreamException failure) {
		if (source != this.attempt) {
			return;
		}
		RunnerState runner = source.getRunner();
		LOG.log(OnlineEvent.UPSTREAM_FAILED, this.request.id(), runner.getMember().id(), failure.getCode().getCode(),
				failure.isConnectionLost(), this.tokens.size());
		if (failure.getCode() == ErrorCode.UPSTREAM_REJECTED) {
			runner.abandoned();
			finish(failure.withEarlierAttempts(this.earlier));
			return;
		}
		this.earlier = this.earlier.combine(failure.getExecutionState());
		runner.failed(failure.isConnectionLost(), this.parts.ticker().nanos());
		this.failedOn.add(runner.getMember().id());
		leaveRunner();
		this.phase = Phase.HELD;
		if (failure.isConnectionLost()) {
			this.parts.suspects().crashed(this, runner.getCrashName());
		}
		this.parts.suspects()
			.find(this.request.fingerprint())
			.filter(Suspicion::quarantined)
			.ifPresentOrElse(this::quarantined, () -> retryOrFail(failure));
	}

	private void retryOrFail(UpstreamException failure) {
		boolean repeatable = this.request.profile().getIdempotent()
				|| failure.getExecutionState() == ExecutionState.NOT_RUN;
		if (!repeatable || this.attempts >= this.request.profile().getMaxAttempts() || getRemainingMillis() == 0
				|| !this.admission.takeRetry()) {
			finish(failure.withEarlierAttempts(this.earlier));
			return;
		}
		if (failure.isConnectionLost()) {
			this.parts.suspects().enter(this);
		}
		else {
			proceed(this.alone);
		}
	}

	private AccountCode startCode() {
		if (this.attempts == 1) {
			return AccountCode.STARTED;
		}
		return this.tokens.isEmpty() ? AccountCode.RETRIED : AccountCode.RESUMED;
	}

	private void record(AccountCode code, Map<String, String> figures) {
		this.parts.account().record(code, "request", this.request.id().value(), null, figures);
	}

	private void waitedTooLong() {
		if (this.phase == Phase.QUEUED) {
			refused(this.admission.overloaded(this.request, Duration.ofMillis(this.request.profile().getMaxQueueMs())));
		}
	}

	// Ends the answer; without a failure the caller is gone.
	private void finish(WigeongladeException failure) {
		if (isDone()) {
			return;
		}
		withdraw();
		this.phase = Phase.DONE;
		this.parts.active().remove(this);
		this.parts.suspects().gaveUp(this);
		if (failure != null) {
			this.sink.onFailure(failure);
		}
	}

	private void withdraw() {
		cancelTimer();
		if (this.phase == Phase.QUEUED) {
			if (this.alone) {
				this.parts.isolation().ended(this);
			}
			else {
				this.admission.withdraw(this);
			}
		}
		if (this.attempt != null) {
			this.attempt.cancel();
			this.earlier = this.earlier.combine(ExecutionState.UNKNOWN);
			this.attempt.getRunner().abandoned();
			leaveRunner();
		}
	}

	private void leaveRunner() {
		RunnerState runner = this.attempt.getRunner();
		this.attempt = null;
		runner.endOnline();
		this.parts.arrivals().changed(runner);
		if (this.alone) {
			this.parts.isolation().ended(this);
		}
		else {
			this.admission.ended(this);
		}
	}

	private EngineRequest toEngineRequest() {
		String id = this.request.id().value();
		return new EngineRequest(RequestId.of((this.attempts == 1) ? id : id + "." + this.attempts),
				this.request.model(), this.request.prompt(), this.request.maxTokens(), this.tokens,
				this.request.traceParent());
	}

	private ExecutionState ran() {
		return this.tokens.isEmpty() ? ExecutionState.UNKNOWN : ExecutionState.RAN;
	}

	private double firstTokenRatio(Attempt source) {
		if (this.tokens.size() == this.firstTokenIndex) {
			return 0;
		}
		return (this.firstTokenNanos - source.getStartedNanos()) / 1e6 / this.request.profile().getFirstTokenTargetMs();
	}

	private double interTokenRatio(long nowNanos) {
		int count = this.tokens.size() - this.firstTokenIndex;
		if (count < 2) {
			return 0;
		}
		return (nowNanos - this.firstTokenNanos) / 1e6 / (count - 1) / this.request.profile().getInterTokenTargetMs();
	}

	private void cancelTimer() {
		if (this.timer >= 0) {
			this.parts.loop().cancel(this.timer);
			this.timer = -1;
		}
	}

	/** Phases of an answer. */
	private enum Phase {

		/** Waits for the outcome of a copy or for leave to run. */
		HELD,

		/** Waits for a runner. */
		QUEUED,

		/** Runs on a runner. */
		RUNNING,

		/** Ended. */
		DONE

	}

}
