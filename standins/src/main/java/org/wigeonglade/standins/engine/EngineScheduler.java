package org.wigeonglade.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import io.vertx.core.Vertx;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;

/**
 * Scheduler with continuous batching: admits streams to slots in order of arrival and
 * writes their tokens on a timer. Thread-safe.
 */
final class EngineScheduler {

	private static final long NANOS_PER_MICRO = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final EngineSettings settings;

	private final EngineRecorder ledger;

	private final Runnable crashAction;

	private final PrefixCache cache;

	private final Deque<EngineStream> queue = new ArrayDeque<>();

	private final List<EngineStream> running = new ArrayList<>();

	private final Deque<Sample> samples = new ArrayDeque<>();

	private long timer = -1;

	private boolean frozen;

	private boolean writesDoneMarker = true;

	EngineScheduler(Vertx vertx, EngineSettings settings, EngineRecorder ledger, Runnable crashAction) {
		this.vertx = vertx;
		this.settings = settings;
		this.ledger = ledger;
		this.crashAction = crashAction;
		this.cache = new PrefixCache(settings.cacheBlocks);
		sample();
	}

	synchronized boolean submit(EngineStream stream) {
		if (this.queue.size() >= this.settings.maxQueue) {
			return false;
		}
		record(Kind.QUEUED, stream);
		stream.open();
		this.queue.addLast(stream);
		admit();
		sample();
		return true;
	}

	synchronized void cancel(EngineStream stream) {
		if (this.queue.remove(stream)) {
			record(Kind.DROPPED, stream);
		}
		else if (this.running.remove(stream)) {
			record(Kind.CANCELLED, stream);
			admit();
		}
		sample();
	}

	synchronized void failAll() {
		this.queue.forEach((stream) -> record(Kind.DROPPED, stream));
		this.running.forEach((stream) -> record(Kind.LOST, stream));
		this.queue.clear();
		this.running.clear();
		stopTimer();
	}

	synchronized void freeze(boolean value) {
		this.frozen = value;
	}

	synchronized boolean isFrozen() {
		return this.frozen;
	}

	synchronized void setDoneMarker(boolean value) {
		this.writesDoneMarker = value;
	}

	synchronized <T> T withCache(java.util.function.Function<PrefixCache, T> use) {
		return use.apply(this.cache);
	}

	synchronized Sample latestVisibleLoad() {
		long visible = System.nanoTime() - this.settings.loadLagMillis * NANOS_PER_MILLI;
		Sample last = this.samples.peekFirst();
		for (Sample sample : this.samples) {
			if (sample.nanos > visible) {
				break;
			}
			last = sample;
		}
		while (this.samples.peekFirst() != last) {
			this.samples.removeFirst();
		}
		return last;
	}

	private void admit() {
		long now = System.nanoTime();
		while (this.running.size() < this.settings.slots && !this.queue.isEmpty() && !this.frozen) {
			EngineStream stream = this.queue.removeFirst();
			this.running.add(stream);
			record(Kind.STARTED, stream);
			if (stream.getPrompt().contains(this.settings.crashMarker)) {
				this.crashAction.run();
				return;
			}
			stream.setReadyNanos(now + prefillNanos(stream, now));
		}
		startTimer();
	}

	private long prefillNanos(EngineStream stream, long now) {
		String prompt = stream.getPrompt();
		int cached = CompletionText.promptTokens(prompt.substring(0, this.cache.cachedChars(prompt)));
		int required = CompletionText.promptTokens(prompt) + stream.getResumeFrom();
		this.cache.store(prompt, now);
		return Math.max(1, required - cached) * this.settings.prefillMicrosPerToken * NANOS_PER_MICRO;
	}

	private void startTimer() {
		if (this.timer < 0 && !this.running.isEmpty()) {
			long period = Math.max(1, this.settings.tokenMicros / 1000);
			this.timer = this.vertx.setPeriodic(period, (id) -> tick());
		}
	}

	private void stopTimer() {
		if (this.timer >= 0) {
			this.vertx.cancelTimer(this.timer);
			this.timer = -1;
		}
	}

	private synchronized void tick() {
		if (this.frozen) {
			return;
		}
		long now = System.nanoTime();
		boolean changed = false;
		for (Iterator<EngineStream> iterator = this.running.iterator(); iterator.hasNext();) {
			EngineStream stream = iterator.next();
			int written = stream.getWritten();
			stream.writeDue(now, this.settings.tokenMicros * NANOS_PER_MICRO, this.writesDoneMarker);
			if (written == 0 && stream.getWritten() > 0) {
				record(Kind.FIRST_TOKEN, stream);
			}
			if (stream.isDone()) {
				iterator.remove();
				record(Kind.COMPLETED, stream);
				changed = true;
			}
		}
		if (changed || !this.queue.isEmpty()) {
			admit();
			sample();
		}
		if (this.running.isEmpty()) {
			stopTimer();
		}
	}

	private void sample() {
		this.samples.addLast(new Sample(System.nanoTime(), this.running.size(), this.queue.size()));
		latestVisibleLoad();
	}

	private void record(Kind kind, EngineStream stream) {
		this.ledger.record(kind, stream.getRequestId(), stream.getPrompt(), stream.getWritten(), System.nanoTime());
	}

	record Sample(long nanos, int running, int queued) {
	}

}
