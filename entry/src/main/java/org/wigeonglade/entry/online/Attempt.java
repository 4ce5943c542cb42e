package org.wigeonglade.entry.online;

import java.util.concurrent.Flow;

import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;

/**
 * One attempt to run a request on a runner. Checks that tokens are in order and the
 * answer is complete, and asks for tokens in bounded windows. Runs on one event loop.
 */
final class Attempt implements Flow.Subscriber<EngineEvent> {

	/** Tokens asked for at once; bounds what a slow caller can make the host hold. */
	private static final int WINDOW = 64;

	private final EventLoop loop;

	private final Listener listener;

	private final RunnerState runner;

	private final long startedNanos;

	private int expected;

	private Flow.Subscription subscription;

	private int wanted;

	private boolean paused;

	private boolean done;

	Attempt(EventLoop loop, Listener listener, RunnerState runner, int firstIndex, long startedNanos) {
		this.loop = loop;
		this.listener = listener;
		this.runner = runner;
		this.expected = firstIndex;
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

	// Ends the attempt without an event and cancels it at the engine.
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
		ask();
	}

	boolean isPaused() {
		return this.paused;
	}

	@Override
	public void onSubscribe(Flow.Subscription given) {
		this.loop.execute(() -> {
			this.subscription = given;
			if (this.done) {
				given.cancel();
				return;
			}
			ask();
		});
	}

	@Override
	public void onNext(EngineEvent event) {
		this.loop.execute(() -> accept(event));
	}

	@Override
	public void onError(Throwable failure) {
		this.loop.execute(() -> end(
				(failure instanceof UpstreamException known) ? known : new UpstreamException(ErrorCode.INTERNAL,
						ExecutionState.UNKNOWN, false, "unexpected failure of the engine client", failure)));
	}

	@Override
	public void onComplete() {
		this.loop.execute(() -> end(incomplete("the runner ended the answer without its end mark")));
	}

	private void accept(EngineEvent event) {
		if (this.done) {
			return;
		}
		this.wanted--;
		switch (event) {
			case EngineEvent.Token token -> token(token);
			case EngineEvent.End end -> end(end);
		}
		ask();
	}

	private void token(EngineEvent.Token token) {
		if (token.index() != this.expected) {
			fail(incomplete("the runner sent token " + token.index() + " instead of " + this.expected));
			return;
		}
		this.expected++;
		this.listener.onToken(this, token);
	}

	private void end(EngineEvent.End end) {
		if (end.completionTokens() != this.expected) {
			fail(incomplete("the runner counts " + end.completionTokens() + " tokens but sent " + this.expected));
			return;
		}
		this.done = true;
		this.listener.onEnd(this, end);
	}

	private void end(UpstreamException failure) {
		if (!this.done) {
			this.done = true;
			this.listener.onFailure(this, failure);
		}
	}

	private void fail(UpstreamException failure) {
		cancel();
		this.listener.onFailure(this, failure);
	}

	private void ask() {
		if (!this.done && !this.paused && this.subscription != null && this.wanted <= WINDOW / 2) {
			int count = WINDOW - this.wanted;
			this.wanted += count;
			this.subscription.request(count);
		}
	}

	private static UpstreamException incomplete(String message) {
		return new UpstreamException(ErrorCode.STREAM_INCOMPLETE, ExecutionState.RAN, false, message, null);
	}

	/** Takes the events of an attempt. */
	interface Listener {

		void onToken(Attempt attempt, EngineEvent.Token token);

		void onEnd(Attempt attempt, EngineEvent.End end);

		void onFailure(Attempt attempt, UpstreamException failure);

	}

}
