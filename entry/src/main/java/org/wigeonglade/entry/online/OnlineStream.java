package org.wigeonglade.entry.online;

import java.util.List;
import java.util.concurrent.Flow;

import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.RanState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.error.WigeongladeException;

/**
 * Relays one answer from a runner to its caller.
 */
final class OnlineStream implements StreamHandle, Flow.Subscriber<EngineEvent> {

	/** Tokens asked for at once; bounds what a slow caller can make the host hold. */
	private static final int WINDOW = 64;

	private final OnlineRequest request;

	private final StreamSink sink;

	private RunnerState runner;

	private Flow.Subscription subscription;

	private boolean paused;

	private boolean done;

	private int wanted;

	OnlineStream(OnlineRequest request, StreamSink sink) {
		this.request = request;
		this.sink = sink;
	}

	synchronized void start(RunnerState chosen) {
		this.runner = chosen;
		chosen.beginOnline();
		EngineRequest call = new EngineRequest(this.request.id(), this.request.model(), this.request.prompt(),
				this.request.maxTokens(), List.of(), this.request.traceParent());
		chosen.getOnlineClient().run(call).subscribe().withSubscriber(this);
	}

	@Override
	public synchronized void onSubscribe(Flow.Subscription subscription) {
		this.subscription = subscription;
		request();
	}

	@Override
	public synchronized void onNext(EngineEvent event) {
		if (this.done) {
			return;
		}
		this.wanted--;
		switch (event) {
			case EngineEvent.Token token -> this.sink.onToken(token);
			case EngineEvent.End end -> {
				finish();
				this.sink.onEnd(end);
			}
		}
		request();
	}

	@Override
	public synchronized void onError(Throwable failure) {
		if (finish()) {
			this.sink.onFailure((failure instanceof WigeongladeException known) ? known : new UpstreamException(
					ErrorCode.INTERNAL, RanState.UNKNOWN, false, "unexpected failure of the engine client", failure));
		}
	}

	@Override
	public synchronized void onComplete() {
		if (finish()) {
			this.sink.onFailure(new UpstreamException(ErrorCode.STREAM_INCOMPLETE, RanState.RAN, false,
					"the runner ended the answer without its end mark", null));
		}
	}

	@Override
	public synchronized void pause() {
		this.paused = true;
	}

	@Override
	public synchronized void resume() {
		this.paused = false;
		request();
	}

	@Override
	public synchronized void cancel() {
		if (finish() && this.subscription != null) {
			this.subscription.cancel();
		}
	}

	private boolean finish() {
		if (this.done) {
			return false;
		}
		this.done = true;
		if (this.runner != null) {
			this.runner.endOnline();
		}
		return true;
	}

	private void request() {
		if (!this.done && !this.paused && this.subscription != null && this.wanted < WINDOW / 2) {
			int count = WINDOW - this.wanted;
			this.wanted += count;
			this.subscription.request(count);
		}
	}

}
