package org.wigeonglade.entry.online;

import java.util.concurrent.Flow;

import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;

/**
 * One attempt to run a request on a runner. Verifies that the token indexes are
 * consecutive and the response is complete, and requests tokens in bounded windows. Runs
 * on one event loop.
 */
final class Attempt implements Flow.Subscriber<EngineEvent> {

	/**
	 * Largest number of requested tokens that have not arrived; bounds what the host
	 * buffers for a slow caller.
	 */
	private static final int TOKEN_WINDOW = 64;

	private final EventLoop loop;

	private final Listener listener;

	private final RunnerState runner;

	private final long startedNanos;

	private final String version;

	private int nextIndex;

	private Flow.Subscription subscription;

	private int outstanding;

	private boolean paused;

	private boolean done;

	// The version is that of the tokens before the first index, empty if not known.
	Attempt(EventLoop loop, Listener listener, RunnerState runner, int firstIndex, String version, long startedNanos) {
		this.loop = loop;
		this.listener = listener;
		this.runner = runner;
		this.nextIndex = firstIndex;
		this.version = version;
		this.startedNanos = startedNanos;
	}

	RunnerState getRunner() {
		return this.runner;
	}

	long getStartedNanos() {
		return this.startedNanos;
	}

	void start(EngineRequest request, boolean batch) {
		(batch ? this.runner.getBatchClient() : this.runner.getOnlineClient()).run(request)
			.subscribe()
			.withSubscriber(this);
	}

	// Ends the attempt without notifying the listener and cancels it at the engine.
	void cancel() {
		this.done = true;
		if (this.subscription != null) {
			this.subscription.cancel();
		}
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		requestTokens();
	}

	boolean isPaused() {
		return this.paused;
	}

	@Override
	public void onSubscribe(Flow.Subscription newSubscription) {
		this.loop.execute(() -> {
			this.subscription = newSubscription;
			if (this.done) {
				newSubscription.cancel();
				return;
			}
			requestTokens();
		});
	}

	@Override
	public void onNext(EngineEvent event) {
		this.loop.execute(() -> accept(event));
	}

	@Override
	public void onError(Throwable failure) {
		this.loop.execute(() -> finish(
				(failure instanceof UpstreamException upstream) ? upstream : new UpstreamException(ErrorCode.INTERNAL,
						ExecutionState.UNKNOWN, false, "unexpected failure of the engine client", failure)));
	}

	@Override
	public void onComplete() {
		this.loop.execute(() -> finish(incomplete("the runner ended the answer without its end mark")));
	}

	private void accept(EngineEvent event) {
		if (this.done) {
			return;
		}
		this.outstanding--;
		switch (event) {
			case EngineEvent.Token token -> acceptToken(token);
			case EngineEvent.End end -> finish(end);
		}
		requestTokens();
	}

	private void acceptToken(EngineEvent.Token token) {
		if (token.index() != this.nextIndex) {
			abort(incomplete("the runner sent token " + token.index() + " instead of " + this.nextIndex));
			return;
		}
		if (!this.version.isEmpty() && !token.version().isEmpty() && !token.version().equals(this.version)) {
			abort(new UpstreamException(ErrorCode.UPSTREAM_FAILED, ExecutionState.RAN, false, "the runner has version "
					+ token.version() + ", but version " + this.version + " began the completion", null));
			return;
		}
		this.nextIndex++;
		this.listener.onToken(this, token);
	}

	private void finish(EngineEvent.End end) {
		if (end.completionTokens() != this.nextIndex) {
			abort(incomplete("the runner counts " + end.completionTokens() + " tokens but sent " + this.nextIndex));
			return;
		}
		this.done = true;
		this.listener.onEnd(this, end);
	}

	private void finish(UpstreamException failure) {
		if (!this.done) {
			this.done = true;
			this.listener.onFailure(this, failure);
		}
	}

	private void abort(UpstreamException failure) {
		cancel();
		this.listener.onFailure(this, failure);
	}

	private void requestTokens() {
		if (!this.done && !this.paused && this.subscription != null && this.outstanding <= TOKEN_WINDOW / 2) {
			int count = TOKEN_WINDOW - this.outstanding;
			this.outstanding += count;
			this.subscription.request(count);
		}
	}

	private static UpstreamException incomplete(String message) {
		return new UpstreamException(ErrorCode.STREAM_INCOMPLETE, ExecutionState.RAN, false, message, null);
	}

	/** Receives the events of an attempt. */
	interface Listener {

		void onToken(Attempt attempt, EngineEvent.Token token);

		void onEnd(Attempt attempt, EngineEvent.End end);

		void onFailure(Attempt attempt, UpstreamException failure);

	}

}
