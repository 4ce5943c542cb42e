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
 * One response in progress, across all attempts of its request. Runs on one event loop.
 */
final class OnlineStream implements StreamHandle, Attempt.Listener {

	private static final EventLogger LOG = EventLogger.of(OnlineStream.class);

	private final OnlineContext context;

	private final OnlineRequest request;

	private final ServiceAdmission admission;

	private final StreamSink sink;

	private final List<String> tokens = new ArrayList<>();

	private final Set<UpstreamId> failedOn = new HashSet<>();

	private Phase phase = Phase.AWAITING_ADMISSION;

	private Attempt attempt;

	private int attempts;

	private ExecutionState earlierExecutionState = ExecutionState.NOT_RUN;

	private boolean isolated;

	private boolean started;

	private boolean paused;

	private long timer = -1;

	private long lastEventNanos;

	private String version = "";

	private long firstTokenNanos;

	private int firstTokenIndex;

	OnlineStream(OnlineContext context, OnlineRequest request, ServiceAdmission admission, StreamSink sink) {
		this.context = context;
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

	boolean isAwaitingAdmission() {
		return this.phase == Phase.AWAITING_ADMISSION;
	}

	boolean isIsolated() {
		return this.isolated;
	}

	long getRemainingMillis() {
		return Math.max(0, (this.request.deadlineNanos() - this.context.ticker().nanos()) / 1_000_000L);
	}

	// Continues after the admission by the poison request guard.
	void proceed(boolean inIsolation) {
		if (isDone()) {
			return;
		}
		this.isolated = inIsolation;
		this.phase = Phase.QUEUED;
		if (inIsolation) {
			this.context.isolation().submit(this);
		}
		else {
			this.admission.submit(this, this.attempts > 0);
		}
	}

	// Limits the time that the request spends in the queue.
	void onQueued(long limitMillis) {
		record(AccountCode.QUEUED, Map.of("limit_ms", Long.toString(limitMillis)));
		cancelTimer();
		this.timer = this.context.loop().schedule(limitMillis, this::onQueueTimeout);
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
		this.context.arrivals().announce(runner);
		long now = this.context.ticker().nanos();
		this.lastEventNanos = now;
		this.attempt = new Attempt(this.context.loop(), this, runner, this.tokens.size(), this.version, now);
		if (this.paused) {
			this.attempt.pause();
		}
		this.started = true;
		record(startEventCode(), Map.of("upstream", runner.getMember().id().value(), "attempt",
				Integer.toString(this.attempts), "tokens", Integer.toString(this.tokens.size())));
		this.attempt.start(toEngineRequest(), false);
	}

	// Ends the response with a refusal; nothing ran unless an attempt was made.
	void onRefused(RefusedException refusal) {
		if (this.attempts == 0) {
			finish(refusal);
		}
		else {
			finish(new UpstreamException(refusal.getCode(), currentExecutionState(), false,
					refusal.getMessage() + "; an earlier attempt was lost", null));
		}
	}

	boolean hasOutput() {
		return !this.tokens.isEmpty();
	}

	// Ends the response because its fingerprint is quarantined.
	void onQuarantined(Suspicion suspicion) {
		String message = "the request is quarantined: " + suspicion.reason();
		finish((this.attempts == 0) ? new RefusedException(ErrorCode.QUARANTINED, message, null)
				: new UpstreamException(ErrorCode.QUARANTINED, ExecutionState.RAN, false, message, null));
	}

	/**
	 * Stops the attempt in progress, so that the request can run again later.
	 * @return whether it was stopped; a request that must not be repeated continues
	 */
	boolean suspend() {
		if (isDone() || (this.started && !this.request.profile().getIdempotent())) {
			return false;
		}
		withdraw();
		this.phase = Phase.AWAITING_ADMISSION;
		return true;
	}

	// Ends the response if its deadline passed, or the attempt if its runner has
	// stalled.
	void checkTimeouts(long nowNanos, long stallNanos) {
		if (isDone()) {
			return;
		}
		if (nowNanos - this.request.deadlineNanos() >= 0) {
			finish((this.attempts == 0)
					? new RefusedException(ErrorCode.DEADLINE_EXCEEDED,
							"the deadline passed before the request was started", Duration.ofSeconds(1))
					: new UpstreamException(ErrorCode.DEADLINE_EXCEEDED, currentExecutionState(), false,
							"the deadline passed before the response was complete", null));
			return;
		}
		Attempt current = this.attempt;
		if (current != null && !this.paused && nowNanos - this.lastEventNanos > stallNanos) {
			current.cancel();
			onFailure(current, new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.UNKNOWN, false,
					"the runner sent no data for " + stallNanos / 1_000_000L + " ms", null));
		}
	}

	@Override
	public void pause() {
		this.context.loop().execute(() -> {
			this.paused = true;
			if (this.attempt != null) {
				this.attempt.pause();
			}
		});
	}

	@Override
	public void resume() {
		this.context.loop().execute(() -> {
			this.paused = false;
			this.lastEventNanos = this.context.ticker().nanos();
			if (this.attempt != null) {
				this.attempt.resume();
			}
		});
	}

	@Override
	public void cancel() {
		this.context.loop().execute(() -> finish(null));
	}

	@Override
	public void onToken(Attempt source, EngineEvent.Token token) {
		if (source != this.attempt) {
			return;
		}
		long now = this.context.ticker().nanos();
		this.lastEventNanos = now;
		if (this.tokens.size() == this.firstTokenIndex) {
			this.firstTokenNanos = now;
		}
		this.tokens.add(token.text());
		this.version = token.version();
		this.sink.onToken(token);
	}

	@Override
	public void onEnd(Attempt source, EngineEvent.End end) {
		if (source != this.attempt) {
			return;
		}
		long now = this.context.ticker().nanos();
		source.getRunner().recordSuccess(firstTokenRatio(source), interTokenRatio(now), now);
		releaseRunner();
		this.phase = Phase.DONE;
		cancelTimer();
		this.context.activeStreams().remove(this);
		this.context.poisonGuard().succeeded(this);
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
			runner.recordAbandoned();
			finish(failure.withEarlierAttempts(this.earlierExecutionState));
			return;
		}
		this.earlierExecutionState = this.earlierExecutionState.combine(failure.getExecutionState());
		runner.recordFailure(failure.isConnectionLost(), this.context.ticker().nanos());
		this.failedOn.add(runner.getMember().id());
		releaseRunner();
		this.phase = Phase.AWAITING_ADMISSION;
		if (failure.isConnectionLost()) {
			this.context.poisonGuard().runnerCrashed(this, runner.getIncarnationName());
		}
		this.context.poisonGuard()
			.find(this.request.fingerprint())
			.filter(Suspicion::quarantined)
			.ifPresentOrElse(this::onQuarantined, () -> retryOrFail(failure));
	}

	private void retryOrFail(UpstreamException failure) {
		boolean repeatable = this.request.profile().getIdempotent()
				|| failure.getExecutionState() == ExecutionState.NOT_RUN;
		if (!repeatable || this.attempts >= this.request.profile().getMaxAttempts() || getRemainingMillis() == 0
				|| !this.admission.tryAcquireRetry()) {
			finish(failure.withEarlierAttempts(this.earlierExecutionState));
			return;
		}
		if (failure.isConnectionLost()) {
			this.context.poisonGuard().admit(this);
		}
		else {
			proceed(this.isolated);
		}
	}

	private AccountCode startEventCode() {
		if (this.attempts == 1) {
			return AccountCode.STARTED;
		}
		return this.tokens.isEmpty() ? AccountCode.RETRIED : AccountCode.RESUMED;
	}

	private void record(AccountCode code, Map<String, String> figures) {
		this.context.account().record(code, "request", this.request.id().value(), null, figures);
	}

	private void onQueueTimeout() {
		if (this.phase == Phase.QUEUED) {
			onRefused(
					this.admission.overloaded(this.request, Duration.ofMillis(this.request.profile().getMaxQueueMs())));
		}
	}

	// Ends the response; the failure is null if the caller cancelled.
	private void finish(WigeongladeException failure) {
		if (isDone()) {
			return;
		}
		withdraw();
		this.phase = Phase.DONE;
		this.context.activeStreams().remove(this);
		this.context.poisonGuard().abandoned(this);
		if (failure != null) {
			this.sink.onFailure(failure);
		}
	}

	private void withdraw() {
		cancelTimer();
		if (this.phase == Phase.QUEUED) {
			if (this.isolated) {
				this.context.isolation().remove(this);
			}
			else {
				this.admission.removeQueued(this);
			}
		}
		if (this.attempt != null) {
			this.attempt.cancel();
			this.earlierExecutionState = this.earlierExecutionState.combine(ExecutionState.UNKNOWN);
			this.attempt.getRunner().recordAbandoned();
			releaseRunner();
		}
	}

	private void releaseRunner() {
		RunnerState runner = this.attempt.getRunner();
		this.attempt = null;
		runner.endOnline();
		this.context.arrivals().announce(runner);
		if (this.isolated) {
			this.context.isolation().remove(this);
		}
		else {
			this.admission.release(this);
		}
	}

	private EngineRequest toEngineRequest() {
		String id = this.request.id().value();
		return new EngineRequest(RequestId.of((this.attempts == 1) ? id : id + "." + this.attempts),
				this.request.model(), this.request.prompt(), this.request.maxTokens(), this.tokens,
				this.request.traceParent());
	}

	private ExecutionState currentExecutionState() {
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
			this.context.loop().cancel(this.timer);
			this.timer = -1;
		}
	}

	/** Phases of a response. */
	private enum Phase {

		/** Waits for the outcome of a duplicate request or for the lease to run. */
		AWAITING_ADMISSION,

		/** Waits in the queue or for a runner in isolation. */
		QUEUED,

		/** Runs on a runner. */
		RUNNING,

		/** Ended. */
		DONE

	}

}
