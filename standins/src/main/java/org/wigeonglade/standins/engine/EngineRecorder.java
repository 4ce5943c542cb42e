package org.wigeonglade.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Recorder of the requests that an engine executed, independent of what the hosts report.
 * It is kept across crashes and restarts of the stand-in. Thread-safe.
 */
public final class EngineRecorder {

	private final List<Entry> entries = new ArrayList<>();

	private int running;

	private int maxRunning;

	private long crashes;

	private volatile Consumer<Entry> listener = (entry) -> {
	};

	void record(Kind kind, String requestId, String prompt, int tokens, long nanos) {
		Entry entry = new Entry(kind, requestId, prompt, tokens, nanos);
		add(entry);
		this.listener.accept(entry);
	}

	private synchronized void add(Entry entry) {
		this.entries.add(entry);
		Kind kind = entry.kind;
		if (kind == Kind.STARTED) {
			this.running++;
			this.maxRunning = Math.max(this.maxRunning, this.running);
		}
		else if (kind != Kind.QUEUED && kind != Kind.DROPPED && kind != Kind.FIRST_TOKEN) {
			this.running--;
		}
	}

	synchronized void recordCrash() {
		this.crashes++;
	}

	/**
	 * Sets the listener of new entries, which allows a test to inject a fault at a given
	 * step of a request.
	 * @param value called on the engine's event loop, must not block; not null
	 */
	public void listen(Consumer<Entry> value) {
		this.listener = value;
	}

	/**
	 * Returns all entries.
	 * @return a copy in chronological order
	 */
	public synchronized List<Entry> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * Returns the number of entries of a kind.
	 * @param kind the kind, not null
	 * @return the number
	 */
	public synchronized long count(Kind kind) {
		return this.entries.stream().filter((entry) -> entry.kind == kind).count();
	}

	/**
	 * Returns the number of starts by prompt.
	 * @return prompt to number of starts
	 */
	public Map<String, Integer> startsByPrompt() {
		return startsBy(Entry::prompt);
	}

	/**
	 * Returns the number of starts by request id, which is unique for each attempt.
	 * @return request id to number of starts
	 */
	public Map<String, Integer> startsByRequest() {
		return startsBy(Entry::requestId);
	}

	/**
	 * Returns the largest number of streams that were in a slot at once.
	 * @return the number
	 */
	public synchronized int maxRunning() {
		return this.maxRunning;
	}

	/**
	 * Returns the number of crashes caused by prompts that contain the crash marker.
	 * @return the number
	 */
	public synchronized long crashes() {
		return this.crashes;
	}

	private synchronized Map<String, Integer> startsBy(Function<Entry, String> key) {
		Map<String, Integer> starts = new TreeMap<>();
		for (Entry entry : this.entries) {
			if (entry.kind == Kind.STARTED) {
				starts.merge(key.apply(entry), 1, Integer::sum);
			}
		}
		return starts;
	}

	/**
	 * Steps of a request.
	 */
	public enum Kind {

		/** The request arrived and waits for a slot. */
		QUEUED,

		/** The request was admitted to a slot and counts as executed. */
		STARTED,

		/** The first token of this attempt was written. */
		FIRST_TOKEN,

		/** The whole completion was written. */
		COMPLETED,

		/** The client cancelled the request while it had a slot. */
		CANCELLED,

		/** The engine crashed or was killed while the request had a slot. */
		LOST,

		/** The request was cancelled, or lost with the engine, before it got a slot. */
		DROPPED

	}

	/**
	 * Step of a request with its time.
	 *
	 * @param kind the step
	 * @param requestId the identifier of the attempt
	 * @param prompt the prompt
	 * @param tokens the number of tokens written by this attempt
	 * @param nanos the monotonic time in nanoseconds
	 */
	public record Entry(Kind kind, String requestId, String prompt, int tokens, long nanos) {
	}

}
